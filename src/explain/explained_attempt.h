#ifndef CLEMENTINERILL_EXPLAIN_EXPLAINED_ATTEMPT_H_
#define CLEMENTINERILL_EXPLAIN_EXPLAINED_ATTEMPT_H_

#include <optional>
#include <string>

#include "base/time.h"

namespace clementinerill {

/// @brief One request to one replica.
struct ExplainedAttempt {
  std::string replica_;
  Duration start_offset_{0};          ///< Since the query was received.
  std::optional<Duration> duration_;  ///< Empty if still in flight at the end.
  std::string result_;   ///< Such as `answer`, `shed`, `cancelled`.
  std::string trigger_;  ///< `primary`, `hedge` or `retry`.
  std::string reason_;   ///< Why it was hedged or retried; empty for a primary.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_EXPLAIN_EXPLAINED_ATTEMPT_H_
