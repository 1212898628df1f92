#include "traffic/latency_estimate.h"

#include <algorithm>

namespace clementinerill::traffic {

void LatencyEstimate::Add(Duration latency) {
  samples_[count_ % kSamples] = latency;
  ++count_;
  if (count_ % kRefreshEvery == 0 || count_ == kFirstRefresh) {
    Refresh();
  }
}

std::vector<Duration> LatencyEstimate::Samples() const {
  const auto used = static_cast<std::ptrdiff_t>(std::min(count_, kSamples));
  return {samples_.begin(), samples_.begin() + used};
}

void LatencyEstimate::Refresh() {
  const size_t used = std::min(count_, kSamples);
  std::array<Duration, kSamples> sorted = samples_;
  const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(used);
  std::sort(sorted.begin(), end);
  median_ = sorted[used / 2];
  p90_ = sorted[used * 9 / 10];
}

}  // namespace clementinerill::traffic
