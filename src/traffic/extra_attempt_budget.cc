#include "traffic/extra_attempt_budget.h"

#include <algorithm>

namespace clementinerill::traffic {
namespace {

// Share of the ratio that is used. The rest covers requests that callers
// abandon before they reach the replicas, and windows not aligned with the
// buckets.
constexpr double kUsableRatioShare = 0.95;
// Share of the slack that is used, so that daemons that restart within a window
// and lose their counts stay within the limit.
constexpr double kUsableSlackShare = 0.7;
// Share of the budget that hedges may use. The rest is reserved for retries: a
// part whose attempt failed is lost without one.
constexpr double kHedgeShare = 0.75;

}  // namespace

void ExtraAttemptBudget::ExpireBuckets(Duration window, Instant now) {
  const Duration span = window / static_cast<int64_t>(kBuckets);
  if (span != bucket_span_) {
    bucket_span_ = span;
    buckets_.fill({});
    requests_ = 0;
    extras_ = 0;
  }
  const int64_t index = now.time_since_epoch() / bucket_span_;
  oldest_index_ = index - static_cast<int64_t>(kBuckets) + 1;
  for (Bucket& bucket : buckets_) {
    if (bucket.index_ >= 0 && bucket.index_ < oldest_index_) {
      requests_ -= bucket.requests_;
      extras_ -= bucket.extras_;
      bucket = {};
    }
  }
}

ExtraAttemptBudget::Bucket& ExtraAttemptBudget::CurrentBucket(Instant now) {
  const int64_t index = now.time_since_epoch() / bucket_span_;
  Bucket& bucket = buckets_[static_cast<size_t>(index) % kBuckets];
  if (bucket.index_ != index) {
    requests_ -= bucket.requests_;
    extras_ -= bucket.extras_;
    bucket = {index, 0, 0};
  }
  return bucket;
}

void ExtraAttemptBudget::RecordRequest(Instant now) {
  ++CurrentBucket(now).requests_;
  ++requests_;
}

bool ExtraAttemptBudget::TrySpend(const ExtraAttemptLimit& limit,
                                  int daemons,
                                  ExtraAttemptUse use,
                                  Instant now) {
  ExpireBuckets(limit.window_, now);
  const double slack = limit.slack_ * kUsableSlackShare / std::max(daemons, 1);
  double allowed =
      limit.ratio_ * kUsableRatioShare * static_cast<double>(requests_) + slack;
  if (use == ExtraAttemptUse::kHedge) {
    allowed *= kHedgeShare;
  }
  if (static_cast<double>(extras_ + 1) > allowed) {
    return false;
  }
  ++CurrentBucket(now).extras_;
  ++extras_;
  return true;
}

}  // namespace clementinerill::traffic
