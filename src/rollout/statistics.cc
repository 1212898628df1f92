#include "rollout/statistics.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <limits>
#include <numeric>

#include "rollout/latency_axis.h"

namespace clementinerill {

namespace {

// First bucket at which the cumulative count exceeds `rank`.
size_t BucketAtRank(const VersionCounts& counts, double rank) noexcept {
  double cumulative = 0;
  for (size_t bucket = 0; bucket < counts.latency_.size(); ++bucket) {
    cumulative += static_cast<double>(counts.latency_[bucket]);
    if (cumulative > rank) {
      return bucket;
    }
  }
  return kLatencyBuckets;
}

}  // namespace

double TimeUniformDeviations(uint64_t samples, double alpha) noexcept {
  const double n = static_cast<double>(std::max<uint64_t>(samples, 2));
  return 1.7 *
         std::sqrt(std::log(std::log(2 * n)) + 0.72 * std::log(5.2 / alpha));
}

Interval WilsonInterval(double ratio,
                        uint64_t samples,
                        double deviations) noexcept {
  if (samples == 0) {
    return {0, 1};
  }
  const double n = static_cast<double>(samples);
  const double z2 = deviations * deviations;
  const double centre = (ratio + z2 / (2 * n)) / (1 + z2 / n);
  const double half_width =
      deviations / (1 + z2 / n) *
      std::sqrt(ratio * (1 - ratio) / n + z2 / (4 * n * n));
  return {std::max(0.0, centre - half_width),
          std::min(1.0, centre + half_width)};
}

Interval ErrorInterval(const VersionCounts& counts,
                       double deviations) noexcept {
  const double parts = static_cast<double>(counts.parts_);
  return WilsonInterval(static_cast<double>(counts.failures_) / parts,
                        counts.requests_, deviations);
}

Interval QuantileInterval(const VersionCounts& counts,
                          double quantile,
                          double deviations) noexcept {
  const double n = static_cast<double>(std::accumulate(
      counts.latency_.begin(), counts.latency_.end(), uint64_t{0}));
  const double requests =
      static_cast<double>(std::max<uint64_t>(counts.requests_, 1));
  const double half_width =
      n * deviations * std::sqrt(quantile * (1 - quantile) / requests);
  const double low_rank = n * quantile - half_width;
  const double high_rank = n * quantile + half_width;
  Interval interval{0, std::numeric_limits<double>::infinity()};
  if (low_rank > 0) {
    const size_t bucket = BucketAtRank(counts, low_rank);
    interval.low_ = bucket == 0 ? 0 : LatencyEdgeMs(bucket - 1);
  }
  if (high_rank < n) {
    interval.high_ = LatencyEdgeMs(BucketAtRank(counts, high_rank));
  }
  return interval;
}

double LogTailBound(uint64_t hits, uint64_t samples, double expected) noexcept {
  if (samples == 0) {
    return 0;
  }
  const double n = static_cast<double>(samples);
  const double ratio = static_cast<double>(hits) / n;
  if (ratio <= expected) {
    return 0;
  }
  double divergence = ratio * std::log(ratio / expected);
  if (ratio < 1) {
    divergence += (1 - ratio) * std::log((1 - ratio) / (1 - expected));
  }
  return -n * divergence;
}

}  // namespace clementinerill
