#ifndef CLEMENTINERILL_ROLLOUT_CLEAR_FAULT_H_
#define CLEMENTINERILL_ROLLOUT_CLEAR_FAULT_H_

#include <array>
#include <chrono>
#include <cstdint>

#include "rollout/route_counts.h"
#include "rollout/stop_reason.h"

namespace clementinerill {

/// False-positive probability per comparison. One evaluation per second on 20
/// routes at 9 daemons for a day, with three windows and three comparisons
/// each, makes 140 million comparisons.
inline constexpr double kClearFaultAlpha = 1e-10;

/// Lengths of the sliding windows to evaluate, each ending now. In a long
/// window, responses from before the fault dilute it; a short window has too
/// few requests where traffic is low.
inline constexpr std::array<std::chrono::seconds, 3> kClearFaultWindows = {
    std::chrono::seconds(2), std::chrono::seconds(4), std::chrono::seconds(10)};

/// Minimum number of requests to the new version for a clear fault. The parts
/// of one request fail or slow down together when the query itself is the
/// cause.
inline constexpr uint64_t kMinClearFaultRequests = 3;

/// Minimum fraction of failed parts for `kClearErrors`.
inline constexpr double kClearFaultErrorRatio = 0.4;

/// `kClearLatency` requires that at least half of the parts take longer than
/// this multiple of the old version's 90th or 99th percentile. The 90th detects
/// smaller differences; the 99th needs fewer parts.
inline constexpr double kClearFaultLatencyRatio = 1.5;

/// @brief Detects a severe error or latency regression of the new version.
///
/// Each daemon calls it every second with its own counts over each of
/// `kClearFaultWindows`. Compared with 1000 requests to the old version with 1%
/// errors, seven failed parts of seven or seven very slow parts of seven, in at
/// least three requests, suffice. After the last step `window.old_` must hold
/// the recorded baseline; without counts of the old version the result is
/// `kNone`.
/// @return `kClearErrors`, `kClearLatency` or `kNone`.
[[nodiscard]] StopReason DetectClearFault(const RouteCounts& window) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROLLOUT_CLEAR_FAULT_H_
