#ifndef CLEMENTINERILL_METRICS_COUNTER_H_
#define CLEMENTINERILL_METRICS_COUNTER_H_

#include <array>
#include <atomic>
#include <cstdint>

#include "metrics/thread_shard.h"

namespace clementinerill {

/// @brief A monotonic counter, sharded by thread; safe to use from any thread.
class Counter {
 public:
  void Increment(uint64_t by = 1) noexcept {
    shards_[ThreadShard()].value_.fetch_add(by, std::memory_order_relaxed);
  }

  /// @brief The sum of all shards. It may miss concurrent increments and is
  /// exact once all writers have finished.
  [[nodiscard]] uint64_t Value() const noexcept {
    uint64_t sum = 0;
    for (const Shard& shard : shards_) {
      sum += shard.value_.load(std::memory_order_relaxed);
    }
    return sum;
  }

 private:
  struct alignas(kCacheLineBytes) Shard {
    std::atomic<uint64_t> value_{0};
  };

  std::array<Shard, kMetricShards> shards_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_METRICS_COUNTER_H_
