#ifndef CLEMENTINERILL_ROLLOUT_LATENCY_AXIS_H_
#define CLEMENTINERILL_ROLLOUT_LATENCY_AXIS_H_

#include <cstddef>

#include "base/time.h"

namespace clementinerill {

/// @brief Number of buckets of the logarithmic scale that all compared latency
/// histograms share.
///
/// Bucket 0 holds latencies up to 0.1 ms; each further doubling has 8 buckets,
/// so that neighbouring edges are 9% apart; the last bucket is unbounded and
/// starts above 400 s.
inline constexpr size_t kLatencyBuckets = 178;

/// @brief Bucket of a latency.
[[nodiscard]] size_t LatencyBucket(Duration latency) noexcept;

/// @brief First bucket that holds only latencies of at least `ms`;
/// `kLatencyBuckets` if there is none.
[[nodiscard]] size_t FirstBucketFrom(double ms) noexcept;

/// @brief Upper edge of a bucket in milliseconds.
[[nodiscard]] double LatencyEdgeMs(size_t bucket) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROLLOUT_LATENCY_AXIS_H_
