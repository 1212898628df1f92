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

/// @brief Counts of latencies by logarithmic step, and their sum.
///
/// A value for one thread; `LatencyRecorder` is filled from many.
class LatencyHistogram {
 public:
  LatencyHistogram();

  /// @brief Adds one latency.
  void Add(Duration latency);

  /// @brief Adds `count` to a cell from 0 (below 50 us) to `kLatencyCells` - 1
  /// (60 s and above). The sum does not change.
  void AddToCell(int cell, uint64_t count);

  /// @brief Adds to the sum of all latencies.
  void AddToSum(Duration sum) noexcept { sum_ += sum; }

  /// @brief Adds all counts and the sum of `other`.
  void Merge(const LatencyHistogram& other);

  /// @brief The count of a cell, numbered as in `AddToCell`.
  [[nodiscard]] uint64_t CellCount(int cell) const;

  /// @brief The number of latencies.
  [[nodiscard]] uint64_t Count() const;

  [[nodiscard]] Duration Sum() const noexcept { return sum_; }

  [[nodiscard]] bool operator==(const LatencyHistogram& other) const;

 private:
  using Cells =
      boost::histogram::histogram<std::tuple<LatencyAxis>,
                                  boost::histogram::dense_storage<uint64_t>>;

  Cells cells_;
  Duration sum_{0};
};

/// @brief The seconds at the upper edge of a cell; infinite for the last one.
[[nodiscard]] double UpperEdgeSeconds(int cell);

/// @brief The latency that the share `q` (0 to 1) of all latencies does not
/// exceed, or nothing when the histogram is empty.
///
/// The result is the geometric middle of a step: within 5% of the exact value
/// from 50 us to 60 s. Below and above, it is the end of the range.
[[nodiscard]] std::optional<Duration> Quantile(
    const LatencyHistogram& histogram,
    double q);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_METRICS_LATENCY_HISTOGRAM_H_
