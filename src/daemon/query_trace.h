#ifndef CLEMENTINERILL_DAEMON_QUERY_TRACE_H_
#define CLEMENTINERILL_DAEMON_QUERY_TRACE_H_

#include <vector>

#include "base/time.h"
#include "explain/explained_part.h"
#include "sweep/query_state.h"

namespace clementinerill {

/// @brief The attempts of one query, collected while it runs.
struct QueryTrace {
  Instant received_;                  ///< When the daemon received the query.
  std::vector<ExplainedPart> parts_;  ///< Across restarts of the query.
};

/// @brief Appends the attempts of `query` to the parts of the same services.
///
/// Call it before a restart, which drops the attempts, and at the end.
void TraceAttempts(const QueryState& query, QueryTrace& trace);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_QUERY_TRACE_H_
