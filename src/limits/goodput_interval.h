#ifndef CLEMENTINERILL_LIMITS_GOODPUT_INTERVAL_H_
#define CLEMENTINERILL_LIMITS_GOODPUT_INTERVAL_H_

#include "base/time.h"

namespace clementinerill {

/// @brief Ends of queries between two changes of a gate limit.
///
/// Ends of queries that entered before the change are counted too. Waiting for
/// them to leave delays each change by the latency of a query, and under
/// contention the limit then falls more slowly than the latency rises.
struct GoodputInterval {
  Instant start_ = Instant::max();  ///< The first end in the first interval.
  int in_time_ = 0;
  int missed_ = 0;
  int peak_in_use_ = 0;
  bool saturated_ = false;  ///< The limit kept a query out.
};

/// @brief Ends counted so far.
[[nodiscard]] inline int Ends(const GoodputInterval& interval) noexcept {
  return interval.in_time_ + interval.missed_;
}

/// @brief Fraction of the counted ends that missed their deadline.
[[nodiscard]] inline double MissedFraction(
    const GoodputInterval& interval) noexcept {
  const int ends = Ends(interval);
  return ends == 0 ? 0.0 : static_cast<double>(interval.missed_) / ends;
}

/// @brief Queries answered in time per second since its start.
[[nodiscard]] inline double GoodputPerSecond(const GoodputInterval& interval,
                                             Instant now) noexcept {
  const std::chrono::duration<double> span = now - interval.start_;
  return span.count() > 0 ? interval.in_time_ / span.count() : 0.0;
}

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LIMITS_GOODPUT_INTERVAL_H_
