#ifndef CLEMENTINERILL_METRICS_LATENCY_AXIS_H_
#define CLEMENTINERILL_METRICS_LATENCY_AXIS_H_

#include <boost/histogram/axis/regular.hpp>

#include "base/time.h"

namespace clementinerill {

/// Logarithmic axis in seconds, with an underflow and an overflow bucket.
using LatencyAxis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log,
                                    boost::histogram::axis::null_type>;

inline constexpr double kMinLatencySeconds = 50e-6;
inline constexpr double kMaxLatencySeconds = 60.0;

/// The smallest number of buckets whose bounds are at most 10% apart:
/// ln(60 s / 50 us) / ln(1.1) is 146.9.
inline constexpr int kInRangeBuckets = 147;

/// All buckets, with the underflow and the overflow bucket.
inline constexpr int kHistogramBuckets = kInRangeBuckets + 2;

/// @brief Makes the axis that all latency histograms use.
[[nodiscard]] LatencyAxis MakeLatencyAxis();

/// @brief Converts a latency to seconds; a negative one is taken as zero.
[[nodiscard]] constexpr double ToAxisSeconds(Duration latency) noexcept {
  const double seconds = std::chrono::duration<double>(latency).count();
  return seconds < 0 ? 0 : seconds;
}

}  // namespace clementinerill

#endif  // CLEMENTINERILL_METRICS_LATENCY_AXIS_H_
