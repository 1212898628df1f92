#include "metrics/latency_recorder.h"

#include <algorithm>

namespace clementinerill {

void LatencyRecorder::Record(Duration latency) noexcept {
  const Duration non_negative = std::max(latency, Duration::zero());
  Shard& shard = shards_[ThreadShard()];
  shard.buckets_(ToAxisSeconds(non_negative));
  shard.sum_.fetch_add(non_negative.count(), std::memory_order_relaxed);
}

LatencyHistogram LatencyRecorder::Snapshot() const {
  LatencyHistogram merged;
  for (const Shard& shard : shards_) {
    for (int bucket = 0; bucket < kHistogramBuckets; ++bucket) {
      const uint64_t count = shard.buckets_.at(bucket - 1).load();
      if (count > 0) {
        merged.AddToBucket(bucket, count);
      }
    }
    merged.AddToSum(Duration(shard.sum_.load(std::memory_order_relaxed)));
  }
  return merged;
}

}  // namespace clementinerill
