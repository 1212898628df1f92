#ifndef CLEMENTINERILL_SWEEP_QUERY_ACTION_H_
#define CLEMENTINERILL_SWEEP_QUERY_ACTION_H_

#include <cstddef>

#include "sweep/attempt_kind.h"

namespace clementinerill {

/// @brief What the owner of a query must do next.
enum class QueryActionKind {
  kStartAttempt,   ///< Select an upstream for `part_` and send.
  kCancelAttempt,  ///< Cancel `attempt_` of `part_` at its upstream.
  kRestart,        ///< Select another snapshot and restart the query.
  kFinish,         ///< Build the answer and send it to the caller.
};

/// @brief One action; fields that do not apply are zero.
struct QueryAction {
  QueryActionKind kind_ = QueryActionKind::kFinish;
  size_t part_ = 0;
  size_t attempt_ = 0;
  AttemptKind attempt_kind_ = AttemptKind::kPrimary;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SWEEP_QUERY_ACTION_H_
