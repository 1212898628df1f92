#include "warmup/latency_tracker.h"

#include <algorithm>

namespace clementinerill {

bool AddLatency(LatencyTracker& tracker, Duration latency, Instant now) {
  if (tracker.sample_count_ == 0) {
    tracker.window_start_ = now;
  }
  tracker.window_[tracker.sample_count_] = latency;
  ++tracker.sample_count_;
  if (tracker.sample_count_ < kLatencyWindowSize) {
    return false;
  }
  auto sorted = tracker.window_;
  const auto middle = sorted.begin() + kLatencyWindowSize / 2;
  std::nth_element(sorted.begin(), middle, sorted.end());
  tracker.last_median_ = *middle;
  tracker.last_window_start_ = tracker.window_start_;
  tracker.sample_count_ = 0;
  return true;
}

void UpdateBaseline(LatencyTracker& tracker) noexcept {
  if (!tracker.last_median_) {
    return;
  }
  const Duration baseline = tracker.baseline_.value_or(*tracker.last_median_);
  tracker.baseline_ = baseline + (*tracker.last_median_ - baseline) / 8;
}

void UpdateSiblingRatio(LatencyTracker& tracker,
                        Duration sibling_latency) noexcept {
  if (!tracker.last_median_ || sibling_latency <= Duration::zero()) {
    return;
  }
  const double ratio = static_cast<double>(tracker.last_median_->count()) /
                       static_cast<double>(sibling_latency.count());
  tracker.sibling_ratio_ += (ratio - tracker.sibling_ratio_) / 8;
}

double StepRatio(const LatencyTracker& tracker) noexcept {
  if (!tracker.last_median_ || !tracker.baseline_ ||
      tracker.baseline_->count() <= 0) {
    return 0;
  }
  return static_cast<double>(tracker.last_median_->count()) /
         static_cast<double>(tracker.baseline_->count());
}

std::optional<Duration> SiblingLatency(
    const std::vector<const LatencyTracker*>& siblings,
    Instant since) {
  std::vector<Duration> medians;
  for (const LatencyTracker* sibling : siblings) {
    if (sibling->last_median_ && sibling->last_window_start_ >= since) {
      medians.push_back(*sibling->last_median_);
    }
  }
  if (medians.empty()) {
    return std::nullopt;
  }
  const auto middle = medians.begin() + (medians.size() - 1) / 2;
  std::nth_element(medians.begin(), middle, medians.end());
  return *middle;
}

}  // namespace clementinerill
