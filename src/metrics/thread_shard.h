#ifndef CLEMENTINERILL_METRICS_THREAD_SHARD_H_
#define CLEMENTINERILL_METRICS_THREAD_SHARD_H_

#include <cstddef>

namespace clementinerill {

/// Shards of one metric. More threads than shards share them; the cells are
/// atomic, so sharing costs time and never a count.
inline constexpr size_t kMetricShards = 16;

/// Bytes that keep two shards on different cache lines.
inline constexpr size_t kCacheLineBytes = 64;

/// @brief The shard of the calling thread, below `kMetricShards`.
///
/// Threads get shards in the order in which they first ask.
[[nodiscard]] size_t ThreadShard() noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_METRICS_THREAD_SHARD_H_
