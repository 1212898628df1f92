#include "limits/slot_limiter.h"

#include <algorithm>

#include "base/invariant.h"

namespace clementinerill {
namespace {

RefusalReason TightestLimit(const SlotLimiter& limiter) noexcept {
  const int limit = SlotLimit(limiter);
  if (limiter.share_ == limit) {
    return RefusalReason::kNoSlot;
  }
  if (limiter.cold_cap_ == limit) {
    return RefusalReason::kColdLimit;
  }
  return RefusalReason::kConcurrencyLimit;
}

void RecordCancelled(SlotLimiter& limiter,
                     Instant started,
                     Instant now) noexcept {
  if (now - started > LatencyThreshold(limiter.adaptive_.latency_)) {
    RecordLatency(limiter.adaptive_, limiter.share_, started, now);
  }
}

}  // namespace

void SetShare(SlotLimiter& limiter, int share) noexcept {
  CR_INVARIANT(share >= 0);
  limiter.share_ = share;
  RaiseToShare(limiter.adaptive_, share);
}

void SetColdCap(SlotLimiter& limiter, std::optional<int> cap) noexcept {
  CR_INVARIANT(!cap || *cap >= 1);
  limiter.cold_cap_ = cap;
}

int SlotLimit(const SlotLimiter& limiter) noexcept {
  const int limit = EffectiveLimit(limiter.adaptive_, limiter.share_);
  return std::min(limit, limiter.cold_cap_.value_or(limit));
}

tl::expected<SlotGrant, RefusalReason> AcquireSlot(SlotLimiter& limiter,
                                                   Instant now) noexcept {
  if (limiter.in_use_ >= SlotLimit(limiter)) {
    return tl::make_unexpected(TightestLimit(limiter));
  }
  ++limiter.in_use_;
  return SlotGrant{now};
}

void ReleaseSlot(SlotLimiter& limiter,
                 SlotGrant grant,
                 SlotOutcome outcome,
                 Instant now) noexcept {
  CR_INVARIANT(limiter.in_use_ > 0);
  --limiter.in_use_;
  const Instant started = grant.acquired_;
  if (outcome == SlotOutcome::kShed) {
    RecordShed(limiter.adaptive_, limiter.share_, started, now);
  }
  if (limiter.cold_cap_) {
    return;
  }
  if (outcome == SlotOutcome::kAnswered) {
    RecordResponse(limiter.adaptive_, limiter.share_, started, now);
  }
  if (outcome == SlotOutcome::kCancelled) {
    RecordCancelled(limiter, started, now);
  }
}

}  // namespace clementinerill
