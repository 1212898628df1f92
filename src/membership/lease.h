#ifndef CLEMENTINERILL_MEMBERSHIP_LEASE_H_
#define CLEMENTINERILL_MEMBERSHIP_LEASE_H_

#include <vector>

#include "base/time.h"

namespace clementinerill {

/// @brief Returns the end of a lease based on echoed heartbeats, which were
/// sent at the times `sent`.
///
/// The lease is valid while at least `majority` of these heartbeats were sent
/// less than `kLeaseDuration` ago. Returns `Instant::min()` when there are
/// fewer than `majority` echoes.
[[nodiscard]] Instant LeaseEnd(std::vector<Instant> sent, int majority);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_LEASE_H_
