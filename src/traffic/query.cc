#include "traffic/query.h"

#include <algorithm>

namespace clementinerill::traffic {
namespace {

bool MayHaveRun(const Attempt& attempt) {
  return attempt.is_open_ || !IsNotRun(attempt.outcome_);
}

}  // namespace

bool MayHaveRun(const Query& query) {
  return std::any_of(
      query.parts_.begin(), query.parts_.end(), [](const QueryPart& part) {
        return std::any_of(part.attempts_.begin(), part.attempts_.end(),
                           [](const Attempt& a) { return MayHaveRun(a); });
      });
}

size_t CountParts(const Query& query, PartState state) {
  return static_cast<size_t>(
      std::count_if(query.parts_.begin(), query.parts_.end(),
                    [state](const QueryPart& p) { return p.state_ == state; }));
}

}  // namespace clementinerill::traffic
