#include "traffic/query.h"

#include <algorithm>

namespace clementinerill::traffic {
namespace {

template <typename Predicate>
bool AnyAttempt(const Query& query, Predicate predicate) {
  return std::any_of(query.parts_.begin(), query.parts_.end(),
                     [&predicate](const QueryPart& part) {
                       return std::any_of(part.attempts_.begin(),
                                          part.attempts_.end(), predicate);
                     });
}

}  // namespace

bool MayHaveRun(const Query& query) {
  return AnyAttempt(query, [](const Attempt& attempt) {
    return attempt.is_open_ || !IsNotRun(attempt.outcome_);
  });
}

bool WasSent(const Query& query) {
  return AnyAttempt(query, [](const Attempt& attempt) {
    return attempt.is_open_ || attempt.outcome_ != AttemptOutcome::kNotSent;
  });
}

size_t CountParts(const Query& query, PartState state) {
  return static_cast<size_t>(
      std::count_if(query.parts_.begin(), query.parts_.end(),
                    [state](const QueryPart& p) { return p.state_ == state; }));
}

}  // namespace clementinerill::traffic
