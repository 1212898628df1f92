#ifndef CLEMENTINERILL_LIMITS_LATENCY_TREND_H_
#define CLEMENTINERILL_LIMITS_LATENCY_TREND_H_

#include <array>
#include <chrono>
#include <cstddef>

#include "base/time.h"

namespace clementinerill {

/// @brief Samples per window. The median of 16 is unaffected by stragglers as
/// long as fewer than half of the samples are slow.
inline constexpr size_t kLatencyWindowSize = 16;

/// @brief A median above this multiple of the baseline counts as rising.
inline constexpr int kLatencyTolerance = 2;

/// @brief A rise below this span is attributed to scheduling noise.
inline constexpr Duration kLatencySlack = std::chrono::milliseconds(1);

/// @brief Window medians over which the baseline follows a lower latency.
inline constexpr int kBaselineFallWindows = 4;

/// @brief Window medians over which the baseline follows a higher latency.
///
/// Slow enough that a period of congestion is not learned as normal, finite so
/// that a replica that became slower for good regains its limit.
inline constexpr int kBaselineRiseWindows = 32;

/// @brief Compares the median latency of recent answers with the low-latency
/// baseline of the same replica.
struct LatencyTrend {
  std::array<Duration, kLatencyWindowSize> samples_{};
  size_t count_ = 0;      ///< Samples in the window that is being filled.
  Duration baseline_{0};  ///< Zero until the first window is complete.
  bool rising_ = false;   ///< Verdict of the last complete window.
};

/// @brief The longest latency that does not count as rising.
///
/// `Duration::max()` until there is a baseline.
[[nodiscard]] Duration TolerableLatency(const LatencyTrend& trend) noexcept;

/// @brief Adds one sample; returns whether it completed a window, in which case
/// `rising_` and `baseline_` are up to date.
bool AddLatency(LatencyTrend& trend, Duration latency) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LIMITS_LATENCY_TREND_H_
