#ifndef CLEMENTINERILL_PLATFORM_READ_OUTCOME_H_
#define CLEMENTINERILL_PLATFORM_READ_OUTCOME_H_

#include <string>

#include "platform/read_status.h"
#include "platform/versioned_object.h"

namespace clementinerill {

/// @brief The result of `PlatformClient::Get` and `PlatformClient::Watch`.
struct ReadOutcome {
  ReadStatus status_ = ReadStatus::kUnavailable;
  VersionedObject object_;  ///< Set for `kFound`.
  std::string reason_;      ///< Set for `kUnavailable` and `kRejected`.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PLATFORM_READ_OUTCOME_H_
