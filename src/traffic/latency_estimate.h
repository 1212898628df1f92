#ifndef CLEMENTINERILL_TRAFFIC_LATENCY_ESTIMATE_H_
#define CLEMENTINERILL_TRAFFIC_LATENCY_ESTIMATE_H_

#include <array>
#include <cstddef>
#include <vector>

#include "base/time.h"

namespace clementinerill::traffic {

/// @brief Quantiles of the latency of recent attempts.
///
/// Computed from the last 128 latencies. Replicas are paused about 4% of the
/// time, so that the 90th percentile is not affected by pauses.
class LatencyEstimate {
 public:
  /// @brief Sets both quantiles to `initial` until the first refresh.
  explicit LatencyEstimate(Duration initial) noexcept
      : median_(initial), p90_(initial) {}

  void Add(Duration latency);

  /// @brief Whether the quantiles come from latencies that were added.
  [[nodiscard]] bool IsMeasured() const noexcept {
    return count_ >= kFirstRefresh;
  }

  [[nodiscard]] Duration Median() const noexcept { return median_; }
  [[nodiscard]] Duration P90() const noexcept { return p90_; }

  /// @brief The latencies that the next refresh would use, in no order.
  [[nodiscard]] std::vector<Duration> Samples() const;

 private:
  static constexpr size_t kSamples = 128;
  static constexpr size_t kRefreshEvery = 16;  ///< Samples per recalculation.
  static constexpr size_t kFirstRefresh = 8;

  void Refresh();

  std::array<Duration, kSamples> samples_{};
  size_t count_ = 0;
  Duration median_;
  Duration p90_;
};

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_LATENCY_ESTIMATE_H_
