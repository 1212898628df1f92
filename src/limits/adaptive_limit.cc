#include "limits/adaptive_limit.h"

#include <algorithm>

namespace clementinerill {
namespace {

void Decrease(AdaptiveLimit& limit, int share, Instant now) noexcept {
  const double current = std::min<double>(limit.raw_limit_, std::max(share, 1));
  limit.raw_limit_ = std::max(kMinRawLimit, current * kLimitDecreaseFactor);
  limit.reduced_ = true;
  limit.last_decrease_ = now;
  limit.latency_.count_ = 0;
}

void Increase(AdaptiveLimit& limit, int share) noexcept {
  if (limit.raw_limit_ >= share) {
    return;
  }
  limit.raw_limit_ += kLimitIncrease / std::max(limit.raw_limit_, 1.0);
  if (limit.raw_limit_ >= share) {
    limit.raw_limit_ = share;
    limit.reduced_ = false;
  }
}

}  // namespace

int EffectiveLimit(const AdaptiveLimit& limit, int share) noexcept {
  const int level = std::max(1, static_cast<int>(limit.raw_limit_));
  return std::min(share, level);
}

void RaiseToShare(AdaptiveLimit& limit, int share) noexcept {
  if (!limit.reduced_) {
    limit.raw_limit_ = std::max<double>(limit.raw_limit_, share);
  }
}

void RecordShed(AdaptiveLimit& limit,
                int share,
                Instant started,
                Instant now) noexcept {
  if (started >= limit.last_decrease_) {
    Decrease(limit, share, now);
  }
}

void RecordLatency(AdaptiveLimit& limit,
                   int share,
                   Instant started,
                   Instant now) noexcept {
  if (started < limit.last_decrease_) {
    return;
  }
  const bool complete = AddLatency(limit.latency_, now - started);
  if (complete && limit.latency_.rising_) {
    Decrease(limit, share, now);
  }
}

void RecordResponse(AdaptiveLimit& limit,
                    int share,
                    Instant started,
                    Instant now) noexcept {
  if (started < limit.last_decrease_) {
    return;
  }
  RecordLatency(limit, share, started, now);
  if (!limit.latency_.rising_) {
    Increase(limit, share);
  }
}

}  // namespace clementinerill
