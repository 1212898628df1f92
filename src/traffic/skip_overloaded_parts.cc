#include "traffic/skip_overloaded_parts.h"

#include <algorithm>
#include <cmath>

namespace clementinerill::traffic {
namespace {

// A part is skipped if its expected latency exceeds this multiple of the time
// until the response: expected latencies are rough estimates, and a part that
// was sent may still be in time.
constexpr double kExpectedLatencyFactor = 1.3;

// Counts the parts that the response does not require, apart from those that
// have failed or are expected to fail.
size_t CountSpareParts(const Query& query,
                       const std::vector<ReplicaChoice>& choices) {
  double usable = 0;
  for (const ReplicaChoice& choice : choices) {
    usable += choice.replica_ ? 1.0 - choice.failure_probability_ : 0.0;
  }
  // Other daemons may skip some of the delegated parts.
  for (const Delegation& delegation : query.delegations_) {
    if (delegation.state_ == DelegationState::kOpen) {
      usable += static_cast<double>(delegation.subset_.parts_.size() -
                                    delegation.subset_.max_skipped_);
    }
  }
  const size_t required =
      query.subset_ ? query.parts_.size() - query.subset_->max_skipped_
                    : RequiredParts(query);
  return static_cast<size_t>(
      std::max(0.0, std::round(usable - static_cast<double>(required))));
}

bool IsScarce(const ReplicaChoice& choice) {
  return choice.rate_headroom_ < kScarceRateHeadroom;
}

// Whether `a` is skipped before `b`.
bool SkipsBefore(const ReplicaChoice& a, const ReplicaChoice& b) {
  if (IsScarce(a) || IsScarce(b)) {
    return a.rate_headroom_ < b.rate_headroom_;
  }
  return a.expected_latency_ > b.expected_latency_;
}

void SkipRateLimitedParts(Query& query,
                          const std::vector<ReplicaChoice>& choices) {
  for (size_t i = 0; i < choices.size(); ++i) {
    if (choices[i].reason_ == NoReplicaReason::kRateLimited &&
        !query.parts_[i].is_delegated_) {
      query.parts_[i].state_ = PartState::kSkipped;
    }
  }
}

}  // namespace

void SkipOverloadedParts(Query& query,
                         const std::vector<ReplicaChoice>& choices,
                         Instant now) {
  if (!IsFanOut(*query.route_)) {
    return;
  }
  SkipRateLimitedParts(query, choices);
  const size_t spare = CountSpareParts(query, choices);
  if (spare == 0) {
    return;
  }
  const auto limit =
      Scale(query.partial_response_at_ - now, kExpectedLatencyFactor);
  std::vector<size_t> overloaded;
  for (size_t i = 0; i < choices.size(); ++i) {
    if (choices[i].replica_ &&
        (IsScarce(choices[i]) || choices[i].expected_latency_ > limit)) {
      overloaded.push_back(i);
    }
  }
  std::sort(overloaded.begin(), overloaded.end(),
            [&choices](size_t a, size_t b) {
              return SkipsBefore(choices[a], choices[b]);
            });
  overloaded.resize(std::min(overloaded.size(), spare));
  for (const size_t part : overloaded) {
    query.parts_[part].state_ = PartState::kSkipped;
  }
}

}  // namespace clementinerill::traffic
