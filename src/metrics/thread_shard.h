#ifndef CLEMENTINERILL_METRICS_THREAD_SHARD_H_
#define CLEMENTINERILL_METRICS_THREAD_SHARD_H_

#include <cstddef>

namespace clementinerill {

/// Shards of one metric. When there are more threads than shards, threads share
/// shards; updates are atomic, so sharing causes contention but loses no
/// counts.
inline constexpr size_t kMetricShards = 16;

/// Alignment that places shards on different cache lines, which avoids false
/// sharing.
inline constexpr size_t kCacheLineBytes = 64;

/// @brief The shard index of the calling thread, below `kMetricShards`.
///
/// Shards are assigned round-robin, at the first call of each thread.
[[nodiscard]] size_t ThreadShard() noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_METRICS_THREAD_SHARD_H_
