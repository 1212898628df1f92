#include "rollout/latency_axis.h"

#include <chrono>
#include <cmath>

namespace clementinerill {

namespace {

constexpr double kFirstEdgeMs = 0.1;
constexpr double kBucketsPerDoubling = 8;

}  // namespace

size_t LatencyBucket(Duration latency) noexcept {
  const double ms = std::chrono::duration<double, std::milli>(latency).count();
  if (ms <= kFirstEdgeMs) {
    return 0;
  }
  const double bucket =
      std::ceil(kBucketsPerDoubling * std::log2(ms / kFirstEdgeMs));
  return bucket < kLatencyBuckets ? static_cast<size_t>(bucket)
                                  : kLatencyBuckets - 1;
}

size_t FirstBucketFrom(double ms) noexcept {
  if (ms <= kFirstEdgeMs) {
    return 1;
  }
  const double bucket =
      1 + std::ceil(kBucketsPerDoubling * std::log2(ms / kFirstEdgeMs) - 1e-9);
  return bucket < kLatencyBuckets ? static_cast<size_t>(bucket)
                                  : kLatencyBuckets;
}

double LatencyEdgeMs(size_t bucket) noexcept {
  return kFirstEdgeMs *
         std::exp2(static_cast<double>(bucket) / kBucketsPerDoubling);
}

}  // namespace clementinerill
