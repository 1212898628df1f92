#include "limits/latency_window.h"

#include <algorithm>

namespace clementinerill {
namespace {

Duration Median(std::array<Duration, kLatencyWindowSize> samples) noexcept {
  const auto middle = samples.begin() + kLatencyWindowSize / 2;
  std::nth_element(samples.begin(), middle, samples.end());
  return *middle;
}

void UpdateBaseline(LatencyWindow& window, Duration median) noexcept {
  if (window.baseline_ == Duration::zero()) {
    window.baseline_ = median;
    return;
  }
  const Duration difference = median - window.baseline_;
  const int windows = difference < Duration::zero() ? kBaselineFallWindows
                                                    : kBaselineRiseWindows;
  window.baseline_ += difference / windows;
}

}  // namespace

Duration TolerableLatency(const LatencyWindow& window) noexcept {
  if (window.baseline_ == Duration::zero()) {
    return Duration::max();
  }
  return std::max(window.baseline_ * kLatencyTolerance,
                  window.baseline_ + kLatencySlack);
}

bool AddLatency(LatencyWindow& window, Duration latency) noexcept {
  window.samples_[window.count_++] = latency;
  if (window.count_ < kLatencyWindowSize) {
    return false;
  }
  window.count_ = 0;
  const Duration median = Median(window.samples_);
  window.rising_ = median > TolerableLatency(window);
  UpdateBaseline(window, median);
  return true;
}

}  // namespace clementinerill
