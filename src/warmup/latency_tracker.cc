#include "warmup/latency_tracker.h"

#include <algorithm>

namespace clementinerill {

bool AddLatency(LatencyTracker& track, Duration latency, Instant now) {
  if (track.filled_ == 0) {
    track.window_from_ = now;
  }
  track.window_[track.filled_] = latency;
  ++track.filled_;
  if (track.filled_ < kLatencyWindow) {
    return false;
  }
  auto sorted = track.window_;
  const auto middle = sorted.begin() + kLatencyWindow / 2;
  std::nth_element(sorted.begin(), middle, sorted.end());
  track.recent_ = *middle;
  track.recent_from_ = track.window_from_;
  track.filled_ = 0;
  return true;
}

void AdoptBaseline(LatencyTracker& track) noexcept {
  if (!track.recent_) {
    return;
  }
  const Duration baseline = track.baseline_.value_or(*track.recent_);
  track.baseline_ = baseline + (*track.recent_ - baseline) / 8;
}

void AdoptRelative(LatencyTracker& track, Duration siblings) noexcept {
  if (!track.recent_ || siblings <= Duration::zero()) {
    return;
  }
  const double present = static_cast<double>(track.recent_->count()) /
                         static_cast<double>(siblings.count());
  track.relative_ += (present - track.relative_) / 8;
}

double StepRatio(const LatencyTracker& track) noexcept {
  if (!track.recent_ || !track.baseline_ || track.baseline_->count() <= 0) {
    return 0;
  }
  return static_cast<double>(track.recent_->count()) /
         static_cast<double>(track.baseline_->count());
}

std::optional<Duration> SiblingLatency(
    const std::vector<const LatencyTracker*>& siblings,
    Instant since) {
  std::vector<Duration> recent;
  for (const LatencyTracker* sibling : siblings) {
    if (sibling->recent_ && sibling->recent_from_ >= since) {
      recent.push_back(*sibling->recent_);
    }
  }
  if (recent.empty()) {
    return std::nullopt;
  }
  const auto middle = recent.begin() + (recent.size() - 1) / 2;
  std::nth_element(recent.begin(), middle, recent.end());
  return *middle;
}

}  // namespace clementinerill
