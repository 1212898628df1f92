#ifndef CLEMENTINERILL_METRICS_LATENCY_RECORDER_H_
#define CLEMENTINERILL_METRICS_LATENCY_RECORDER_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <tuple>

#include <boost/histogram/accumulators/thread_safe.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include "base/time.h"
#include "metrics/latency_axis.h"
#include "metrics/latency_histogram.h"
#include "metrics/thread_shard.h"

namespace clementinerill {

/// @brief Lock-free recorder of latencies; safe to use from any thread.
///
/// Each thread writes to its shard with relaxed atomic additions; `Snapshot`
/// merges the shards.
class LatencyRecorder {
 public:
  void Record(Duration latency) noexcept;

  /// @brief The histogram of all latencies so far. It may miss concurrent
  /// records and is exact once all writers have finished.
  [[nodiscard]] LatencyHistogram Snapshot() const;

 private:
  using Buckets = boost::histogram::histogram<
      std::tuple<LatencyAxis>,
      boost::histogram::dense_storage<
          boost::histogram::accumulators::thread_safe<uint64_t>>>;

  struct alignas(kCacheLineBytes) Shard {
    Buckets buckets_{MakeLatencyAxis()};
    std::atomic<Duration::rep> sum_{0};
  };

  std::array<Shard, kMetricShards> shards_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_METRICS_LATENCY_RECORDER_H_
