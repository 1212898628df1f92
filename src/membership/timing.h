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

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_TIMING_H_
