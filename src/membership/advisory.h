#ifndef CLEMENTINERILL_MEMBERSHIP_ADVISORY_H_
#define CLEMENTINERILL_MEMBERSHIP_ADVISORY_H_

#include <cstdint>
#include <string>

#include "membership/advisory_kind.h"

namespace clementinerill {

/// @brief A change that takes effect without the store.
///
/// For a subject the higher generation wins; within a generation active wins.
/// `origin_` names the daemon that raised it and takes no part in the merge.
struct Advisory {
  AdvisoryKind kind_ = AdvisoryKind::kFailureDomainOut;
  std::string subject_;
  uint64_t generation_ = 0;
  bool active_ = false;
  std::string origin_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_ADVISORY_H_
