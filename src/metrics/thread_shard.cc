#include "metrics/thread_shard.h"

#include <atomic>

namespace clementinerill {

size_t ThreadShard() noexcept {
  static std::atomic<size_t> next{0};
  thread_local const size_t shard =
      next.fetch_add(1, std::memory_order_relaxed) % kMetricShards;
  return shard;
}

}  // namespace clementinerill
