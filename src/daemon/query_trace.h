#ifndef CLEMENTINERILL_DAEMON_QUERY_TRACE_H_
#define CLEMENTINERILL_DAEMON_QUERY_TRACE_H_

#include <vector>

#include "base/time.h"
#include "explain/explained_part.h"
#include "sweep/query_state.h"

namespace clementinerill {

/// @brief The attempts of a query, collected while it runs.
struct QueryTrace {
  Instant received_;                  ///< When the daemon received the query.
  std::vector<ExplainedPart> parts_;  ///< Includes attempts before restarts.
};

/// @brief Appends the attempts of `query` to the parts of the same services.
///
/// Must be called at the end of a query and before each restart, which discards
/// the attempts.
void TraceAttempts(const QueryState& query, QueryTrace& trace);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_QUERY_TRACE_H_
