#ifndef CLEMENTINERILL_MEMBERSHIP_LEASE_H_
#define CLEMENTINERILL_MEMBERSHIP_LEASE_H_

#include <vector>

#include "base/time.h"

namespace clementinerill {

/// @brief End of a lease that rests on echoes of heartbeats sent at `sent`.
///
/// The lease lasts until fewer than `majority` of the echoed heartbeats are
/// younger than `kSelfFence`. Returns the earliest `Instant` when there are
/// too few echoes.
[[nodiscard]] Instant LeaseEnd(std::vector<Instant> sent, int majority);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_LEASE_H_
