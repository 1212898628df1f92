#include "metrics/latency_recorder.h"

#include <algorithm>

namespace clementinerill {

void LatencyRecorder::Record(Duration latency) noexcept {
  const Duration counted = std::max(latency, Duration::zero());
  Shard& shard = shards_[ThreadShard()];
  shard.cells_(ToAxisSeconds(counted));
  shard.sum_.fetch_add(counted.count(), std::memory_order_relaxed);
}

LatencyHistogram LatencyRecorder::Snapshot() const {
  LatencyHistogram merged;
  for (const Shard& shard : shards_) {
    for (int cell = 0; cell < kLatencyCells; ++cell) {
      const uint64_t count = shard.cells_.at(cell - 1).load();
      if (count > 0) {
        merged.AddToCell(cell, count);
      }
    }
    merged.AddToSum(Duration(shard.sum_.load(std::memory_order_relaxed)));
  }
  return merged;
}

}  // namespace clementinerill
