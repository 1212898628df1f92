#ifndef CLEMENTINERILL_MEMBERSHIP_LIVENESS_H_
#define CLEMENTINERILL_MEMBERSHIP_LIVENESS_H_

#include "membership/group_state.h"

namespace clementinerill {

/// @brief Whether this daemon counts as a witness, that is, whether
/// `kWitnessStartupDelay` has passed since process start.
[[nodiscard]] bool IsWitness(const GroupState& state, Instant now) noexcept;

/// @brief Whether a heartbeat of the member arrived within the last
/// `kHeartbeatTimeout`; always true for this daemon itself.
[[nodiscard]] bool HeardRecently(const GroupState& state,
                                 int member,
                                 Instant now) noexcept;

/// @brief Recomputes `live_` of all members from the witnesses' reports.
///
/// A member becomes dead when a majority of the group reports it as not heard,
/// and live when a majority reports it as heard. Without a majority for either,
/// it keeps its last state.
void UpdateLiveness(GroupState& state, Instant now);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_LIVENESS_H_
