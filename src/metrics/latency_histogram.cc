#include "metrics/latency_histogram.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace clementinerill {
namespace {

// Boost.Histogram numbers the underflow bucket -1; here it is 0.
constexpr int kUnderflowIndex = -1;

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

Duration GeometricMidpoint(int bucket) {
  if (bucket == 0) {
    return FromSeconds(kMinLatencySeconds);
  }
  if (bucket == kHistogramBuckets - 1) {
    return FromSeconds(kMaxLatencySeconds);
  }
  return FromSeconds(
      std::sqrt(UpperBoundSeconds(bucket - 1) * UpperBoundSeconds(bucket)));
}

}  // namespace

LatencyHistogram::LatencyHistogram() : buckets_(MakeLatencyAxis()) {}

void LatencyHistogram::Add(Duration latency) {
  buckets_(ToAxisSeconds(latency));
  sum_ += std::max(latency, Duration::zero());
}

void LatencyHistogram::AddToBucket(int bucket, uint64_t count) {
  buckets_.at(bucket + kUnderflowIndex) += count;
}

void LatencyHistogram::Merge(const LatencyHistogram& other) {
  buckets_ += other.buckets_;
  sum_ += other.sum_;
}

uint64_t LatencyHistogram::CountInBucket(int bucket) const {
  return buckets_.at(bucket + kUnderflowIndex);
}

uint64_t LatencyHistogram::Count() const {
  uint64_t count = 0;
  for (const uint64_t bucket : buckets_) {
    count += bucket;
  }
  return count;
}

bool LatencyHistogram::operator==(const LatencyHistogram& other) const {
  return sum_ == other.sum_ && buckets_ == other.buckets_;
}

double UpperBoundSeconds(int bucket) {
  static const LatencyAxis axis = MakeLatencyAxis();
  return bucket == kHistogramBuckets - 1
             ? std::numeric_limits<double>::infinity()
             : axis.value(bucket);
}

std::optional<Duration> Quantile(const LatencyHistogram& histogram, double q) {
  const uint64_t count = histogram.Count();
  if (count == 0) {
    return std::nullopt;
  }
  const double exact_rank =
      std::clamp(q, 0.0, 1.0) * static_cast<double>(count);
  const uint64_t rank = std::clamp<uint64_t>(
      static_cast<uint64_t>(std::ceil(exact_rank)), 1, count);
  uint64_t cumulative = 0;
  int bucket = -1;
  while (cumulative < rank) {
    ++bucket;
    cumulative += histogram.CountInBucket(bucket);
  }
  return GeometricMidpoint(bucket);
}

}  // namespace clementinerill
