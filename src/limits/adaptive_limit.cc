#include "limits/adaptive_limit.h"

#include <algorithm>

namespace clementinerill {
namespace {

void Decrease(AdaptiveLimit& limit, int share, Instant now) noexcept {
  const double current = std::min<double>(limit.level_, std::max(share, 1));
  limit.level_ = std::max(kLowestLevel, current * kLimitDecrease);
  limit.reduced_ = true;
  limit.last_decrease_ = now;
  limit.latency_.count_ = 0;
}

void Grow(AdaptiveLimit& limit, int share) noexcept {
  if (limit.level_ >= share) {
    return;
  }
  limit.level_ += kLimitGrowth / std::max(limit.level_, 1.0);
  if (limit.level_ >= share) {
    limit.level_ = share;
    limit.reduced_ = false;
  }
}

}  // namespace

int LimitWithin(const AdaptiveLimit& limit, int share) noexcept {
  const int level = std::max(1, static_cast<int>(limit.level_));
  return std::min(share, level);
}

void FollowShare(AdaptiveLimit& limit, int share) noexcept {
  if (!limit.reduced_) {
    limit.level_ = std::max<double>(limit.level_, share);
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

void RecordAnswer(AdaptiveLimit& limit,
                  int share,
                  Instant started,
                  Instant now) noexcept {
  if (started < limit.last_decrease_) {
    return;
  }
  RecordLatency(limit, share, started, now);
  if (!limit.latency_.rising_) {
    Grow(limit, share);
  }
}

}  // namespace clementinerill
