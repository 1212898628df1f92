#ifndef CLEMENTINERILL_MEMBERSHIP_TIMING_H_
#define CLEMENTINERILL_MEMBERSHIP_TIMING_H_

#include <chrono>

#include "base/time.h"

namespace clementinerill {

/// @brief Interval between heartbeats to each member of the group.
inline constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(500);

/// @brief Validity of an echo, counted from when the heartbeat was sent.
///
/// Covers two lost heartbeats. It must be shorter than `kSilenceTimeout`, so
/// that a silent holder has stopped before its seats move.
inline constexpr Duration kSelfFence = std::chrono::milliseconds(1500);

/// @brief Time without a heartbeat after which a member is reported silent.
inline constexpr Duration kSilenceTimeout = std::chrono::seconds(2);

/// @brief Wait before a gained seat is used, without the route deadline.
inline constexpr Duration kHandoverWait = std::chrono::seconds(3);

/// @brief Time after process start during which a daemon is no witness.
///
/// It must not be shorter than `kSelfFence`: a restarted daemon has forgotten
/// which holder it named, and that holder may count the echo this long.
inline constexpr Duration kWitnessWait = std::chrono::seconds(2);

/// @brief Daemons see a new list of members up to about this far apart.
inline constexpr Duration kListSpread = std::chrono::seconds(1);

/// @brief Time after its own change of the group during which a daemon sends
/// heartbeats in the terms of the previous group.
///
/// Covers `kListSpread` and two heartbeats, so that a change costs no echo. A
/// member that is further behind is not answered until it catches up.
inline constexpr Duration kGroupOverlap = kListSpread + 2 * kHeartbeatInterval;

/// @brief Time after which no lease rests on the previous group, once a
/// majority of the members has adopted a group.
///
/// Each majority of the previous group includes one of them. It grants to the
/// members behind it for `kGroupOverlap`, and each grant lasts `kSelfFence`.
inline constexpr Duration kGroupSettleTime = kGroupOverlap + kSelfFence;

/// @brief Minimum time between two steps of the members.
///
/// All daemons that are not paused have adopted a step after `kListSpread`.
inline constexpr Duration kMemberChangeInterval =
    kListSpread + kGroupSettleTime;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_TIMING_H_
