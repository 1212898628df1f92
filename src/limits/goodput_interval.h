#ifndef CLEMENTINERILL_LIMITS_GOODPUT_INTERVAL_H_
#define CLEMENTINERILL_LIMITS_GOODPUT_INTERVAL_H_

#include "base/time.h"

namespace clementinerill {

/// @brief Query completions between two adjustments of a gate limit.
///
/// Queries admitted before the adjustment are counted too. Waiting for them to
/// finish would delay each adjustment by the latency of a query, and under
/// contention the limit would then fall more slowly than latency rises.
struct GoodputInterval {
  Instant start_ = Instant::max();  ///< First interval: first completion.
  int deadlines_met_ = 0;
  int deadlines_missed_ = 0;
  int peak_in_use_ = 0;
  bool saturated_ = false;  ///< A query was refused by the limit.
};

/// @brief Queries completed in the interval so far.
[[nodiscard]] inline int CompletionCount(
    const GoodputInterval& interval) noexcept {
  return interval.deadlines_met_ + interval.deadlines_missed_;
}

/// @brief Fraction of completed queries that missed their deadline.
[[nodiscard]] inline double MissRatio(
    const GoodputInterval& interval) noexcept {
  const int completions = CompletionCount(interval);
  return completions == 0
             ? 0.0
             : static_cast<double>(interval.deadlines_missed_) / completions;
}

/// @brief Queries per second that met their deadline since the interval start.
[[nodiscard]] inline double GoodputPerSecond(const GoodputInterval& interval,
                                             Instant now) noexcept {
  const std::chrono::duration<double> span = now - interval.start_;
  return span.count() > 0 ? interval.deadlines_met_ / span.count() : 0.0;
}

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LIMITS_GOODPUT_INTERVAL_H_
