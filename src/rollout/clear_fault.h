#ifndef CLEMENTINERILL_ROLLOUT_CLEAR_FAULT_H_
#define CLEMENTINERILL_ROLLOUT_CLEAR_FAULT_H_

#include <array>
#include <chrono>
#include <cstdint>

#include "rollout/route_counts.h"
#include "rollout/stop_reason.h"

namespace clementinerill {

/// Probability of a false alarm per comparison. One look per second on 20
/// routes at 9 daemons for a day, with three windows and three comparisons
/// each, makes 140 million.
inline constexpr double kClearFaultAlpha = 1e-10;

/// Windows to look at, each ending now. In a long window, answers from before
/// the fault hide it; a short one lacks requests where traffic is low.
inline constexpr std::array<std::chrono::seconds, 3> kClearWindows = {
    std::chrono::seconds(2), std::chrono::seconds(4), std::chrono::seconds(10)};

/// A clear fault shows in at least this many requests. The parts of one request
/// fail or slow together when the query itself is the cause.
inline constexpr uint64_t kClearRequests = 3;

/// A version fails outright when at least this part of its parts fails.
inline constexpr double kClearErrorRatio = 0.4;

/// A version is slow outright when at least half of its parts take longer than
/// this multiple of the old version's 90th or 99th percentile. The 90th finds
/// smaller differences; the 99th needs fewer parts.
inline constexpr double kClearLatencyRatio = 1.5;

/// @brief Finds a version that fails or slows outright.
///
/// For a single daemon, each second, with its own counts of each of
/// `kClearWindows`. Next to 1000 requests to the old version with 1% errors,
/// seven failures of seven or seven very slow parts of seven are enough, in
/// three requests. After the last step `window.old_` must hold the recorded
/// baseline; without counts of the old version nothing is found.
/// @return `kClearErrors`, `kClearLatency` or `kNone`.
[[nodiscard]] StopReason ClearFault(const RouteCounts& window) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROLLOUT_CLEAR_FAULT_H_
