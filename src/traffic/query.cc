#include "traffic/query.h"

#include <algorithm>
#include <cmath>

namespace clementinerill::traffic {
namespace {

bool MayHaveRun(const Attempt& attempt) {
  return attempt.is_open_ || !IsNotRun(attempt.outcome_);
}

}  // namespace

size_t RequiredParts(const Query& query) {
  if (query.subset_) {
    return query.parts_.size() -
           std::min(query.subset_->max_missing_, query.parts_.size());
  }
  const double share =
      IsFanOut(*query.route_) ? query.route_->min_coverage_ : 1.0;
  const auto total = static_cast<double>(query.parts_.size());
  return std::max<size_t>(1,
                          static_cast<size_t>(std::ceil(share * total - 1e-9)));
}

bool MayHaveRun(const Query& query) {
  const bool is_delegated =
      std::any_of(query.delegations_.begin(), query.delegations_.end(),
                  [](const Delegation& delegation) {
                    return delegation.state_ != DelegationState::kReturned;
                  });
  return is_delegated ||
         std::any_of(
             query.parts_.begin(), query.parts_.end(),
             [](const QueryPart& part) {
               return part.is_repeat_ ||
                      std::any_of(
                          part.attempts_.begin(), part.attempts_.end(),
                          [](const Attempt& a) { return MayHaveRun(a); });
             });
}

Instant FirstRun(const Query& query) {
  std::optional<Instant> first;
  for (const QueryPart& part : query.parts_) {
    for (const Attempt& attempt : part.attempts_) {
      if (MayHaveRun(attempt) && (!first || attempt.sent_ < *first)) {
        first = attempt.sent_;
      }
    }
  }
  // Otherwise another daemon has run its parts, from the start.
  return first.value_or(query.started_);
}

size_t CountParts(const Query& query, PartState state) {
  return static_cast<size_t>(
      std::count_if(query.parts_.begin(), query.parts_.end(),
                    [state](const QueryPart& p) { return p.state_ == state; }));
}

}  // namespace clementinerill::traffic
