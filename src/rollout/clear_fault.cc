#include "rollout/clear_fault.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>

#include "rollout/latency_axis.h"
#include "rollout/statistics.h"

namespace clementinerill {

namespace {

// Lower limit of the expected ratio of failed parts; a smaller ratio
// measured for the old version is not reliable.
constexpr double kMinExpectedRatio = 0.01;

// Standard deviations for the upper bound of the old version's ratios.
constexpr double kOldVersionDeviations = 3;

bool IsSignificant(uint64_t hits, uint64_t samples, double expected) noexcept {
  return expected < 1 &&
         LogTailBound(hits, samples, expected) <= std::log(kClearFaultAlpha);
}

bool HasClearErrors(const RouteCounts& window) noexcept {
  const uint64_t failures = window.new_.failures_;
  const uint64_t parts = window.new_.parts_;
  const double old_error_bound =
      ErrorInterval(window.old_, kOldVersionDeviations).high_;
  return static_cast<double>(failures) >=
             kClearFaultErrorRatio * static_cast<double>(parts) &&
         IsSignificant(failures, parts,
                       std::max(kMinExpectedRatio, old_error_bound));
}

struct SlowCounts {
  uint64_t slow_ = 0;
  uint64_t all_ = 0;
};

SlowCounts CountSlowParts(const VersionCounts& counts,
                          size_t first_slow) noexcept {
  SlowCounts result;
  for (size_t bucket = 0; bucket < counts.latency_.size(); ++bucket) {
    result.slow_ += bucket >= first_slow ? counts.latency_[bucket] : 0;
    result.all_ += counts.latency_[bucket];
  }
  return result;
}

// A version whose median is close to the old version's cannot have a clear
// latency fault; this skips computing the percentiles in almost every call.
bool HasSimilarMedian(const RouteCounts& window) noexcept {
  return QuantileInterval(window.new_, 0.5, 0).high_ <=
         kClearFaultLatencyRatio * QuantileInterval(window.old_, 0.5, 0).low_;
}

// Expects the old version's ratio of slow parts, but at least `1 - quantile`.
bool HasClearSlowdown(const RouteCounts& window, double quantile) noexcept {
  const double old_quantile_ms =
      QuantileInterval(window.old_, quantile, 0).high_;
  const size_t first_slow =
      FirstBucketFrom(kClearFaultLatencyRatio * old_quantile_ms);
  const SlowCounts new_parts = CountSlowParts(window.new_, first_slow);
  const SlowCounts old_parts = CountSlowParts(window.old_, first_slow);
  const double ratio = static_cast<double>(old_parts.slow_) /
                       static_cast<double>(old_parts.all_);
  const double expected =
      WilsonInterval(ratio, window.old_.requests_, kOldVersionDeviations).high_;
  return 2 * new_parts.slow_ >= new_parts.all_ &&
         IsSignificant(new_parts.slow_, new_parts.all_,
                       std::max(1 - quantile, expected));
}

}  // namespace

StopReason DetectClearFault(const RouteCounts& window) noexcept {
  if (window.new_.requests_ < kMinClearFaultRequests ||
      window.old_.requests_ == 0) {
    return StopReason::kNone;
  }
  if (HasClearErrors(window)) {
    return StopReason::kClearErrors;
  }
  if (HasSimilarMedian(window)) {
    return StopReason::kNone;
  }
  if (HasClearSlowdown(window, 0.9) || HasClearSlowdown(window, 0.99)) {
    return StopReason::kClearLatency;
  }
  return StopReason::kNone;
}

}  // namespace clementinerill
