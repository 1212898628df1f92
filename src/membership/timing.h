#ifndef CLEMENTINERILL_MEMBERSHIP_TIMING_H_
#define CLEMENTINERILL_MEMBERSHIP_TIMING_H_

#include <chrono>

#include "base/time.h"

namespace clementinerill {

/// @brief Interval between heartbeats to each member of the group.
inline constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(500);

/// @brief How long an echo supports a lease, counted from the send time of the
/// echoed heartbeat.
///
/// Tolerates two lost heartbeats. It must be shorter than `kHeartbeatTimeout`,
/// so that a holder that is no longer heard has stopped before its seats move.
inline constexpr Duration kLeaseDuration = std::chrono::milliseconds(1500);

/// @brief Time without a heartbeat after which a member is reported as not
/// heard.
inline constexpr Duration kHeartbeatTimeout = std::chrono::seconds(2);

/// @brief Delay before the use of a newly assigned seat; the longest deadline
/// of the pool's routes is added.
inline constexpr Duration kHandoverDelay = std::chrono::seconds(3);

/// @brief Time after process start during which a daemon is not a witness.
///
/// It must not be shorter than `kLeaseDuration`: a restarted daemon does not
/// know to which member it granted a seat, and that member may rely on the
/// grant for up to `kLeaseDuration`.
inline constexpr Duration kWitnessStartupDelay = std::chrono::seconds(2);

/// @brief Approximate maximum difference between the times at which two daemons
/// see a new list of members.
inline constexpr Duration kMaxListDelay = std::chrono::seconds(1);

/// @brief Time after its own change of the group during which a daemon still
/// sends heartbeats of the previous group to members that have not changed.
///
/// Covers `kMaxListDelay` and two heartbeats, so that no echo is lost by a
/// change. A member that is further behind gets no echo until it catches up.
inline constexpr Duration kGroupTransitionTime =
    kMaxListDelay + 2 * kHeartbeatInterval;

/// @brief Time after which no lease depends on the previous group, counted from
/// the adoption of a group by a majority of its members.
///
/// Each majority of the previous group includes one of these members. It grants
/// seats to members that are behind for `kGroupTransitionTime`, and each grant
/// lasts `kLeaseDuration`.
inline constexpr Duration kGroupSettleTime =
    kGroupTransitionTime + kLeaseDuration;

/// @brief Minimum time between two membership changes.
///
/// All daemons that are not paused have adopted a change after `kMaxListDelay`.
inline constexpr Duration kMemberChangeInterval =
    kMaxListDelay + kGroupSettleTime;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_TIMING_H_
