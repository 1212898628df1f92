#include "limits/latency_trend.h"

#include <algorithm>

namespace clementinerill {
namespace {

Duration Median(std::array<Duration, kLatencyWindowSize> samples) noexcept {
  const auto middle = samples.begin() + kLatencyWindowSize / 2;
  std::nth_element(samples.begin(), middle, samples.end());
  return *middle;
}

void UpdateBaseline(LatencyTrend& trend, Duration median) noexcept {
  if (trend.baseline_ == Duration::zero()) {
    trend.baseline_ = median;
    return;
  }
  const Duration difference = median - trend.baseline_;
  const int windows = difference < Duration::zero() ? kBaselineFallWindows
                                                    : kBaselineRiseWindows;
  trend.baseline_ += difference / windows;
}

}  // namespace

Duration LatencyThreshold(const LatencyTrend& trend) noexcept {
  if (trend.baseline_ == Duration::zero()) {
    return Duration::max();
  }
  return std::max(trend.baseline_ * kLatencyThresholdFactor,
                  trend.baseline_ + kMinLatencyRise);
}

bool AddLatency(LatencyTrend& trend, Duration latency) noexcept {
  trend.samples_[trend.count_++] = latency;
  if (trend.count_ < kLatencyWindowSize) {
    return false;
  }
  trend.count_ = 0;
  const Duration median = Median(trend.samples_);
  trend.rising_ = median > LatencyThreshold(trend);
  UpdateBaseline(trend, median);
  return true;
}

}  // namespace clementinerill
