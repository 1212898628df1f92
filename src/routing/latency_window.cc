#include "routing/latency_window.h"

#include <algorithm>
#include <cmath>

namespace clementinerill {
namespace {

constexpr size_t kMinSamples = 16;

Duration ComputeQuantile(std::vector<Duration> samples, double q) {
  if (samples.empty()) {
    return Duration(0);
  }
  const auto last = static_cast<double>(samples.size() - 1);
  const auto index = static_cast<size_t>(std::lround(last * q));
  const auto position = samples.begin() + static_cast<std::ptrdiff_t>(index);
  std::nth_element(samples.begin(), position, samples.end());
  return *position;
}

}  // namespace

void AddSample(LatencyWindow& window, Duration latency) noexcept {
  window.samples_[window.next_] = latency;
  window.next_ = (window.next_ + 1) % LatencyWindow::kCapacity;
  window.count_ = std::min(window.count_ + 1, LatencyWindow::kCapacity);
}

Duration QuantileOf(const LatencyWindow& window, double q) {
  const auto count = static_cast<std::ptrdiff_t>(window.count_);
  return ComputeQuantile(
      {window.samples_.begin(), window.samples_.begin() + count}, q);
}

Duration TypicalQuantile(const std::vector<const LatencyWindow*>& windows,
                         double q) {
  std::vector<Duration> quantiles;
  for (const LatencyWindow* window : windows) {
    if (window->count_ >= kMinSamples) {
      quantiles.push_back(QuantileOf(*window, q));
    }
  }
  constexpr double kMedian = 0.5;
  return ComputeQuantile(std::move(quantiles), kMedian);
}

}  // namespace clementinerill
