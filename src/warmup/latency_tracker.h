#ifndef CLEMENTINERILL_WARMUP_LATENCY_TRACKER_H_
#define CLEMENTINERILL_WARMUP_LATENCY_TRACKER_H_

#include <array>
#include <cstddef>
#include <optional>
#include <vector>

#include "base/time.h"

namespace clementinerill {

/// Number of latency samples per window. With log-normal latencies (sigma 0.5),
/// the median of 16 samples is within a factor of 1.9 of the true median in
/// 99.99% of windows.
inline constexpr size_t kLatencyWindowSize = 16;

/// @brief Recent and baseline latency of one replica.
struct LatencyTracker {
  std::array<Duration, kLatencyWindowSize> window_{};
  size_t sample_count_ = 0;  ///< Samples in the current window.
  Instant window_start_{};   ///< First sample of the current window.
  /// Median of the last complete window.
  std::optional<Duration> last_median_;
  Instant last_window_start_{};       ///< First sample of that window.
  std::optional<Duration> baseline_;  ///< Moving average of the medians.
  /// Moving average of the ratio of `last_median_` to the siblings' latency.
  double sibling_ratio_ = 1;
  /// End of the first window whose step ratio reached the threshold.
  std::optional<Instant> step_detected_at_;
};

/// @brief Adds one latency sample.
/// @return whether it completed a window and updated `last_median_`.
bool AddLatency(LatencyTracker& tracker, Duration latency, Instant now);

/// @brief Updates the baseline from the last window median, with weight 1/8.
void UpdateBaseline(LatencyTracker& tracker) noexcept;

/// @brief Updates `sibling_ratio_` from the current ratio, with weight 1/8.
void UpdateSiblingRatio(LatencyTracker& tracker,
                        Duration sibling_latency) noexcept;

/// @brief Ratio of the last window median to the baseline; 0 if either is
/// unknown.
[[nodiscard]] double StepRatio(const LatencyTracker& tracker) noexcept;

/// @brief Lower median of the window medians of the siblings, for windows that
/// started at `since` or later.
///
/// The lower median is used because a sibling may also be in a cold start.
[[nodiscard]] std::optional<Duration> SiblingLatency(
    const std::vector<const LatencyTracker*>& siblings,
    Instant since);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_WARMUP_LATENCY_TRACKER_H_
