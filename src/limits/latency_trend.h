#ifndef CLEMENTINERILL_LIMITS_LATENCY_TREND_H_
#define CLEMENTINERILL_LIMITS_LATENCY_TREND_H_

#include <array>
#include <chrono>
#include <cstddef>

#include "base/time.h"

namespace clementinerill {

/// @brief Samples per window. The median of 16 is robust against stragglers as
/// long as fewer than half of the samples are slow.
inline constexpr size_t kLatencyWindowSize = 16;

/// @brief A median above this multiple of the baseline counts as rising.
inline constexpr int kLatencyThresholdFactor = 2;

/// @brief A smaller rise is attributed to scheduling jitter.
inline constexpr Duration kMinLatencyRise = std::chrono::milliseconds(1);

/// @brief Smoothing of the baseline, in windows, when latency falls.
inline constexpr int kBaselineFallWindows = 4;

/// @brief Smoothing of the baseline, in windows, when latency rises.
///
/// Slow enough that congestion does not become the baseline, but finite so that
/// a replica that became permanently slower regains its limit.
inline constexpr int kBaselineRiseWindows = 32;

/// @brief Compares the median latency of recent responses with the baseline
/// latency of the same replica.
struct LatencyTrend {
  std::array<Duration, kLatencyWindowSize> samples_{};
  size_t count_ = 0;      ///< Samples in the incomplete window.
  Duration baseline_{0};  ///< Zero until the first window is complete.
  bool rising_ = false;   ///< Result of the last complete window.
};

/// @brief The longest latency that does not count as rising.
///
/// `Duration::max()` until there is a baseline.
[[nodiscard]] Duration LatencyThreshold(const LatencyTrend& trend) noexcept;

/// @brief Adds one sample; returns whether it completed a window, in which case
/// `rising_` and `baseline_` are up to date.
bool AddLatency(LatencyTrend& trend, Duration latency) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LIMITS_LATENCY_TREND_H_
