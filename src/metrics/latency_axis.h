#ifndef CLEMENTINERILL_METRICS_LATENCY_AXIS_H_
#define CLEMENTINERILL_METRICS_LATENCY_AXIS_H_

#include <boost/histogram/axis/regular.hpp>

#include "base/time.h"

namespace clementinerill {

/// Seconds, in logarithmic steps, with cells below and above the range.
using LatencyAxis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log,
                                    boost::histogram::axis::null_type>;

inline constexpr double kShortestLatencySeconds = 50e-6;
inline constexpr double kLongestLatencySeconds = 60.0;

/// The fewest steps of at most 10%: ln(60 s / 50 us) / ln(1.1) is 146.9.
inline constexpr int kLatencySteps = 147;

/// Steps and the two cells outside the range.
inline constexpr int kLatencyCells = kLatencySteps + 2;

/// @brief The axis that all latency histograms share.
[[nodiscard]] LatencyAxis MakeLatencyAxis();

/// @brief Seconds of `latency`; a negative one is read as zero.
[[nodiscard]] constexpr double ToAxisSeconds(Duration latency) noexcept {
  const double seconds = std::chrono::duration<double>(latency).count();
  return seconds < 0 ? 0 : seconds;
}

}  // namespace clementinerill

#endif  // CLEMENTINERILL_METRICS_LATENCY_AXIS_H_
