#include "routing/upstream_health.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace clementinerill {
namespace {

constexpr double kSmoothingFactor = 0.2;
constexpr auto kMinSkip = std::chrono::milliseconds(20);
constexpr int kMaxDoublings = 7;
constexpr auto kMaxSkip = std::chrono::seconds(2);
constexpr double kHalfLifeSeconds = 2.0;

}  // namespace

void RecordLatency(UpstreamHealth& health,
                   Duration latency,
                   Instant now) noexcept {
  const auto old_value = static_cast<double>(health.latency_.count());
  const auto sample = static_cast<double>(latency.count());
  const double mean = health.latency_ == Duration(0)
                          ? sample
                          : old_value + kSmoothingFactor * (sample - old_value);
  health.latency_ = Duration(static_cast<Duration::rep>(mean));
  health.last_sample_ = now;
}

void RecordSuccess(UpstreamHealth& health) noexcept {
  health.failures_ = 0;
  health.skip_until_ = Instant();
}

void RecordFailure(UpstreamHealth& health, Instant now) noexcept {
  const int doublings = std::min(health.failures_, kMaxDoublings);
  const Duration skip = kMinSkip * (1 << doublings);
  health.skip_until_ = now + std::min<Duration>(skip, kMaxSkip);
  ++health.failures_;
}

Duration ExpectedLatency(const UpstreamHealth& health,
                         Duration typical,
                         Instant now) noexcept {
  if (health.latency_ == Duration(0)) {
    return typical;
  }
  const double age =
      std::chrono::duration<double>(now - health.last_sample_).count();
  const double weight = std::exp2(-std::max(age, 0.0) / kHalfLifeSeconds);
  const auto difference =
      static_cast<double>((health.latency_ - typical).count());
  return typical + Duration(static_cast<Duration::rep>(difference * weight));
}

}  // namespace clementinerill
