#ifndef CLEMENTINERILL_METRICS_LATENCY_HISTOGRAM_H_
#define CLEMENTINERILL_METRICS_LATENCY_HISTOGRAM_H_

#include <cstdint>
#include <optional>
#include <tuple>
#include <vector>

#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include "base/time.h"
#include "metrics/latency_axis.h"

namespace clementinerill {

/// @brief A histogram of latencies with logarithmic buckets, and their sum.
///
/// Not thread-safe; `LatencyRecorder` records from many threads.
class LatencyHistogram {
 public:
  LatencyHistogram();

  /// @brief Adds one latency.
  void Add(Duration latency);

  /// @brief Adds `count` to the bucket with an index from 0 (below 50 us) to
  /// `kHistogramBuckets` - 1 (60 s and above). The sum does not change.
  void AddToBucket(int bucket, uint64_t count);

  /// @brief Adds to the sum of all latencies.
  void AddToSum(Duration sum) noexcept { sum_ += sum; }

  /// @brief Adds all counts and the sum of `other`.
  void Merge(const LatencyHistogram& other);

  /// @brief The count of a bucket, with the index of `AddToBucket`.
  [[nodiscard]] uint64_t CountInBucket(int bucket) const;

  /// @brief The number of recorded latencies.
  [[nodiscard]] uint64_t Count() const;

  [[nodiscard]] Duration Sum() const noexcept { return sum_; }

  [[nodiscard]] bool operator==(const LatencyHistogram& other) const;

 private:
  using Buckets =
      boost::histogram::histogram<std::tuple<LatencyAxis>,
                                  boost::histogram::dense_storage<uint64_t>>;

  Buckets buckets_;
  Duration sum_{0};
};

/// @brief The upper bound of a bucket in seconds; infinite for the last one.
[[nodiscard]] double UpperBoundSeconds(int bucket);

/// @brief The `q`-quantile (0 to 1) of the latencies; nullopt when the
/// histogram is empty.
///
/// From 50 us to 60 s the result is the geometric mean of the bounds of a
/// bucket, which is within 5% of the exact value. Outside this range it is 50
/// us or 60 s.
[[nodiscard]] std::optional<Duration> Quantile(
    const LatencyHistogram& histogram,
    double q);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_METRICS_LATENCY_HISTOGRAM_H_
