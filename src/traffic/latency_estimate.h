#ifndef CLEMENTINERILL_TRAFFIC_LATENCY_ESTIMATE_H_
#define CLEMENTINERILL_TRAFFIC_LATENCY_ESTIMATE_H_

#include <array>
#include <cstddef>

#include "base/time.h"

namespace clementinerill::traffic {

/// @brief The usual latency of one attempt on a route, from recent answers.
///
/// Keeps the last 128 latencies. The 90th percentile stays below the pauses
/// of replicas, which take about 4% of their time.
class LatencyEstimate {
 public:
  /// @brief Starts with both quantiles at `initial`.
  explicit LatencyEstimate(Duration initial) noexcept
      : median_(initial), p90_(initial) {}

  void Add(Duration latency);

  [[nodiscard]] Duration Median() const noexcept { return median_; }
  [[nodiscard]] Duration P90() const noexcept { return p90_; }

 private:
  static constexpr size_t kSamples = 128;
  static constexpr size_t kRefreshEvery = 16;  ///< Samples between updates.

  void Refresh();

  std::array<Duration, kSamples> samples_{};
  size_t count_ = 0;
  Duration median_;
  Duration p90_;
};

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_LATENCY_ESTIMATE_H_
