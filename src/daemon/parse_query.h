#ifndef CLEMENTINERILL_DAEMON_PARSE_QUERY_H_
#define CLEMENTINERILL_DAEMON_PARSE_QUERY_H_

#include <string>

#include <tl/expected.hpp>

#include "base/time.h"
#include "daemon/query_request.h"
#include "routing/routing_table.h"
#include "sweep/query_answer.h"

namespace clementinerill {

/// @brief The parts of an HTTP request that make up a query.
struct QueryInput {
  std::string route_;
  std::string request_id_;       ///< Empty: an id is generated.
  std::string deadline_ms_;      ///< Empty: the route's default.
  std::string idempotency_key_;  ///< Empty: none.
  std::string body_;             ///< JSON object with `query` and `top`.
};

/// @brief Validates a request against the routing table.
/// @return The request, or the refusal to send to the caller.
[[nodiscard]] tl::expected<QueryRequest, QueryAnswer> ParseQuery(
    const QueryInput& input,
    const RoutingTable& table,
    const std::string& generated_id,
    Instant now);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_PARSE_QUERY_H_
