#ifndef CLEMENTINERILL_GATEWAY_QUERY_LOG_H_
#define CLEMENTINERILL_GATEWAY_QUERY_LOG_H_

#include "traffic/query.h"

namespace clementinerill::gateway {

/// @brief Writes the line that ends a query: its id, what decided it and the
/// outcome.
///
/// A query that was late, incomplete or failed lists its attempts. Lines are
/// bounded per second; those of complete queries have a bound of their own, so
/// that they do not crowd out the others.
void LogQueryEnd(const traffic::Query& query, int status, Instant now);

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_QUERY_LOG_H_
