#ifndef CLEMENTINERILL_PLATFORM_WRITE_OUTCOME_H_
#define CLEMENTINERILL_PLATFORM_WRITE_OUTCOME_H_

#include <cstdint>
#include <string>

#include "platform/write_status.h"

namespace clementinerill {

/// @brief The result of `PlatformClient::Put`.
struct WriteOutcome {
  WriteStatus status_ = WriteStatus::kUnavailable;
  /// For `kAccepted` the version of this write. For `kConflict` and `kUnknown`
  /// the version last read from the store; 0 if there is no object or no
  /// response.
  uint64_t version_ = 0;
  std::string reason_;  ///< Set unless the write was accepted.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PLATFORM_WRITE_OUTCOME_H_
