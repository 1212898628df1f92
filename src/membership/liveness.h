#ifndef CLEMENTINERILL_MEMBERSHIP_LIVENESS_H_
#define CLEMENTINERILL_MEMBERSHIP_LIVENESS_H_

#include "membership/group_state.h"

namespace clementinerill {

/// @brief Whether this daemon itself counts as a witness.
[[nodiscard]] bool IsWitness(const GroupState& state, Instant now) noexcept;

/// @brief Whether a heartbeat of the member arrived within `kSilenceTimeout`.
[[nodiscard]] bool HeardRecently(const GroupState& state,
                                 int member,
                                 Instant now) noexcept;

/// @brief Recomputes `live_` of all members from the witnesses' reports.
///
/// A member is dead when a majority of the group reports it silent, and live
/// when a majority hears it. In between its last state is kept.
void UpdateLiveness(GroupState& state, Instant now);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_LIVENESS_H_
