#ifndef CLEMENTINERILL_WARMUP_LATENCY_TRACKER_H_
#define CLEMENTINERILL_WARMUP_LATENCY_TRACKER_H_

#include <array>
#include <cstddef>
#include <optional>
#include <vector>

#include "base/time.h"

namespace clementinerill {

/// Answers in one latency window. A median of 16 answers with a log-normal
/// spread of 0.5 is within a factor of 1.9 of the true one in 99.99% of the
/// windows.
inline constexpr size_t kLatencyWindow = 16;

/// @brief Recent and usual latency of one replica.
struct LatencyTracker {
  std::array<Duration, kLatencyWindow> window_{};
  size_t filled_ = 0;                 ///< Answers in the unfinished window.
  Instant window_from_{};             ///< First answer of that window.
  std::optional<Duration> recent_;    ///< Median of the last whole window.
  Instant recent_from_{};             ///< First answer of that window.
  std::optional<Duration> baseline_;  ///< Moving average of the medians.
  double relative_ = 1;  ///< Moving average of recent_ to that of siblings.
  std::optional<Instant> stepped_at_;  ///< End of the first stepped window.
};

/// @brief Adds one answer.
/// @return whether it completed a window, so that `recent_` is new.
bool AddLatency(LatencyTracker& track, Duration latency, Instant now);

/// @brief Moves the baseline an eighth of the way to the last window.
void AdoptBaseline(LatencyTracker& track) noexcept;

/// @brief Moves `relative_` an eighth of the way to the present ratio.
void AdoptRelative(LatencyTracker& track, Duration siblings) noexcept;

/// @brief Last window divided by the baseline; 0 when either is unknown.
[[nodiscard]] double StepRatio(const LatencyTracker& track) noexcept;

/// @brief Lower median of the siblings' windows that began at `since` or
/// later. The lower one, because a sibling may be in a cold start too.
[[nodiscard]] std::optional<Duration> SiblingLatency(
    const std::vector<const LatencyTracker*>& siblings,
    Instant since);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_WARMUP_LATENCY_TRACKER_H_
