#ifndef CLEMENTINERILL_ROLLOUT_STATISTICS_H_
#define CLEMENTINERILL_ROLLOUT_STATISTICS_H_

#include <cstdint>

#include "rollout/version_counts.h"

namespace clementinerill {

/// @brief Lower and upper bound of an estimate.
struct Interval {
  double low_ = 0;
  double high_ = 0;
};

/// @brief Number of standard deviations for a time-uniform bound: it holds at
/// all sample counts simultaneously with probability 1 - `alpha`, so the judge
/// may evaluate it every second.
///
/// Source: Howard, Ramdas, McAuliffe and Sekhon, "Time-uniform, nonparametric,
/// nonasymptotic confidence sequences", 2021, equation 1.2.
[[nodiscard]] double TimeUniformDeviations(uint64_t samples,
                                           double alpha) noexcept;

/// @brief Wilson score interval of a ratio; [0, 1] without samples.
[[nodiscard]] Interval WilsonInterval(double ratio,
                                      uint64_t samples,
                                      double deviations) noexcept;

/// @brief Wilson score interval of the fraction of failed parts, with the
/// number of requests as sample size.
[[nodiscard]] Interval ErrorInterval(const VersionCounts& counts,
                                     double deviations) noexcept;

/// @brief Interval of a latency quantile in milliseconds, from bucket edges,
/// with the number of requests as sample size.
///
/// The upper bound is infinite while there are too few samples.
[[nodiscard]] Interval QuantileInterval(const VersionCounts& counts,
                                        double quantile,
                                        double deviations) noexcept;

/// @brief Natural logarithm of the Chernoff bound on the probability of at
/// least `hits` in `samples` independent trials of probability `expected`.
///
/// Zero if `hits` / `samples` is not above `expected`.
[[nodiscard]] double LogTailBound(uint64_t hits,
                                  uint64_t samples,
                                  double expected) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROLLOUT_STATISTICS_H_
