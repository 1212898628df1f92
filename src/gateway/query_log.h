#ifndef CLEMENTINERILL_GATEWAY_QUERY_LOG_H_
#define CLEMENTINERILL_GATEWAY_QUERY_LOG_H_

#include "traffic/query.h"

namespace clementinerill::gateway {

/// @brief Logs the end of a query: its id, route, outcome and statistics.
///
/// The line of a query that was late, incomplete or failed lists its attempts.
/// Lines are rate-limited, with a separate limit for queries that completed in
/// time so that they do not crowd out the others.
void LogQueryEnd(const traffic::Query& query, int status, Instant now);

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_QUERY_LOG_H_
