#ifndef CLEMENTINERILL_MEMBERSHIP_ADVISORY_H_
#define CLEMENTINERILL_MEMBERSHIP_ADVISORY_H_

#include <cstdint>
#include <string>

#include "membership/advisory_kind.h"

namespace clementinerill {

/// @brief A change, exchanged between daemons, that takes a subject out of
/// service or returns it; it takes effect without the store.
///
/// For each kind and subject the higher generation wins; within a generation
/// an active advisory wins over an inactive one. `origin_` is the name of the
/// daemon that issued the advisory and is ignored by the merge.
struct Advisory {
  AdvisoryKind kind_ = AdvisoryKind::kFailureDomainOut;
  std::string subject_;
  uint64_t generation_ = 0;
  bool active_ = false;
  std::string origin_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_ADVISORY_H_
