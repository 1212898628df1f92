#include "traffic/extra_attempt_budget.h"

#include <algorithm>

namespace clementinerill::traffic {
namespace {

// Part of the ratio that is spent; the rest covers requests that clients give
// up before they arrive and windows that begin elsewhere than the buckets.
constexpr double kRatioInUse = 0.95;
// Part of the slack that is spent, so that daemons which restart within a
// window and forget their counts stay within the whole.
constexpr double kSlackInUse = 0.7;
// Part of the allowance that hedges may use; a retry after a failure saves a
// part for certain.
constexpr double kHedgeShare = 0.75;

}  // namespace

void ExtraAttemptBudget::Expire(Duration window, Instant now) {
  const Duration span = window / static_cast<int64_t>(kBuckets);
  if (span != span_) {
    span_ = span;
    buckets_.fill({});
    requests_ = 0;
    extras_ = 0;
  }
  const int64_t index = now.time_since_epoch() / span_;
  oldest_ = index - static_cast<int64_t>(kBuckets) + 1;
  for (Bucket& bucket : buckets_) {
    if (bucket.index_ >= 0 && bucket.index_ < oldest_) {
      requests_ -= bucket.requests_;
      extras_ -= bucket.extras_;
      bucket = {};
    }
  }
}

ExtraAttemptBudget::Bucket& ExtraAttemptBudget::Current(Instant now) {
  const int64_t index = now.time_since_epoch() / span_;
  Bucket& bucket = buckets_[static_cast<size_t>(index) % kBuckets];
  if (bucket.index_ != index) {
    requests_ -= bucket.requests_;
    extras_ -= bucket.extras_;
    bucket = {index, 0, 0};
  }
  return bucket;
}

void ExtraAttemptBudget::RecordRequest(Instant now) {
  ++Current(now).requests_;
  ++requests_;
}

bool ExtraAttemptBudget::TrySpend(const ExtraAttemptLimit& limit,
                                  int daemons,
                                  ExtraAttemptUse use,
                                  Instant now) {
  Expire(limit.window_, now);
  const double slack = limit.slack_ * kSlackInUse / std::max(daemons, 1);
  double allowed =
      limit.ratio_ * kRatioInUse * static_cast<double>(requests_) + slack;
  if (use == ExtraAttemptUse::kHedge) {
    allowed *= kHedgeShare;
  }
  if (static_cast<double>(extras_ + 1) > allowed) {
    return false;
  }
  ++Current(now).extras_;
  ++extras_;
  return true;
}

}  // namespace clementinerill::traffic
