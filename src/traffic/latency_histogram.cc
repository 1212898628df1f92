#include "traffic/latency_histogram.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace clementinerill::traffic {
namespace {

constexpr double kBucketsPerDoubling = 2;
// Below this number, single slow responses decide the median.
constexpr int64_t kMinLatencies = 8;

size_t BucketOf(Duration latency) {
  const double ms = ToFractionalMilliseconds(latency);
  if (ms < 1) {
    return 0;
  }
  const double bucket = 1 + std::floor(kBucketsPerDoubling * std::log2(ms));
  return static_cast<size_t>(
      std::min(bucket, static_cast<double>(LatencyHistogram().size() - 1)));
}

double StartOfBucketMs(size_t bucket) {
  return bucket == 0 ? 0
                     : std::exp2((static_cast<double>(bucket) - 1) /
                                 kBucketsPerDoubling);
}

}  // namespace

LatencyHistogram MakeLatencyHistogram(const std::vector<Duration>& latencies) {
  LatencyHistogram histogram{};
  for (const Duration latency : latencies) {
    ++histogram[BucketOf(latency)];
  }
  return histogram;
}

void AddLatencies(LatencyHistogram& sum,
                  const LatencyHistogram& more) noexcept {
  for (size_t bucket = 0; bucket < sum.size(); ++bucket) {
    sum[bucket] += more[bucket];
  }
}

std::optional<Duration> MedianLatency(
    const LatencyHistogram& histogram) noexcept {
  const int64_t count =
      std::accumulate(histogram.begin(), histogram.end(), int64_t{0});
  if (count < kMinLatencies) {
    return std::nullopt;
  }
  const double rank = static_cast<double>(count) / 2;
  double below = 0;
  size_t bucket = 0;
  while (below + static_cast<double>(histogram[bucket]) < rank) {
    below += static_cast<double>(histogram[bucket]);
    ++bucket;
  }
  const double start = StartOfBucketMs(bucket);
  const double width = StartOfBucketMs(bucket + 1) - start;
  return FromMilliseconds(start + width * (rank - below) /
                                      static_cast<double>(histogram[bucket]));
}

}  // namespace clementinerill::traffic
