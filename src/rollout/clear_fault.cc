#include "rollout/clear_fault.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>

#include "rollout/latency_axis.h"
#include "rollout/statistics.h"

namespace clementinerill {

namespace {

// The old version's ratios are not trusted below these values.
constexpr double kLeastRatio = 0.01;

// Deviations of the old version's upper bound.
constexpr double kOldDeviations = 3;

bool IsClear(uint64_t hits, uint64_t samples, double expected) noexcept {
  return expected < 1 &&
         LogTailBound(hits, samples, expected) <= std::log(kClearFaultAlpha);
}

bool FailsOutright(const RouteCounts& window) noexcept {
  const uint64_t failures = window.new_.failures_;
  const uint64_t answers = window.new_.answers_;
  const double usual = ErrorInterval(window.old_, kOldDeviations).high_;
  return static_cast<double>(failures) >=
             kClearErrorRatio * static_cast<double>(answers) &&
         IsClear(failures, answers, std::max(kLeastRatio, usual));
}

struct SlowCounts {
  uint64_t slow_ = 0;
  uint64_t all_ = 0;
};

SlowCounts CountSlow(const VersionCounts& counts, size_t first_slow) noexcept {
  SlowCounts result;
  for (size_t bucket = 0; bucket < counts.latency_.size(); ++bucket) {
    result.slow_ += bucket >= first_slow ? counts.latency_[bucket] : 0;
    result.all_ += counts.latency_[bucket];
  }
  return result;
}

// A version whose median is near the old one's cannot be slow outright; this
// avoids the percentiles in almost every look.
bool HasUsualMedian(const RouteCounts& window) noexcept {
  return QuantileInterval(window.new_, 0.5, 0).high_ <=
         kClearLatencyRatio * QuantileInterval(window.old_, 0.5, 0).low_;
}

// Expects the old version's ratio of slow parts, but at least `1 - quantile`.
bool IsSlowOutright(const RouteCounts& window, double quantile) noexcept {
  const double usual_ms = QuantileInterval(window.old_, quantile, 0).high_;
  const size_t first_slow = FirstBucketFrom(kClearLatencyRatio * usual_ms);
  const SlowCounts fresh = CountSlow(window.new_, first_slow);
  const SlowCounts usual = CountSlow(window.old_, first_slow);
  const double ratio =
      static_cast<double>(usual.slow_) / static_cast<double>(usual.all_);
  const double expected =
      WilsonInterval(ratio, window.old_.requests_, kOldDeviations).high_;
  return 2 * fresh.slow_ >= fresh.all_ &&
         IsClear(fresh.slow_, fresh.all_, std::max(1 - quantile, expected));
}

}  // namespace

StopReason ClearFault(const RouteCounts& window) noexcept {
  if (window.new_.requests_ < kClearRequests || window.old_.requests_ == 0) {
    return StopReason::kNone;
  }
  if (FailsOutright(window)) {
    return StopReason::kClearErrors;
  }
  if (HasUsualMedian(window)) {
    return StopReason::kNone;
  }
  if (IsSlowOutright(window, 0.9) || IsSlowOutright(window, 0.99)) {
    return StopReason::kClearLatency;
  }
  return StopReason::kNone;
}

}  // namespace clementinerill
