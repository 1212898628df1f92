#ifndef CLEMENTINERILL_DAEMON_FORWARD_QUERY_H_
#define CLEMENTINERILL_DAEMON_FORWARD_QUERY_H_

#include <functional>
#include <string>
#include <vector>

#include "cluster/forwarder.h"
#include "daemon/parse_query.h"
#include "daemon/query_request.h"
#include "routing/pool_seats.h"
#include "sweep/query_answer.h"

namespace clementinerill {

/// @brief The daemons to forward a query to, in the order in which they are
/// tried.
///
/// A request with an idempotency key goes to one seat holder, which every
/// daemon derives from a hash of the key; for others, the first holder is
/// chosen by a hash of the request id.
[[nodiscard]] std::vector<std::string> ForwardTargets(
    const QueryRequest& request,
    const PoolSeats& seats,
    const std::string& self);

/// @brief The daemon responsible for the idempotency key of a request; empty
/// when it is unknown.
[[nodiscard]] std::string KeyHolder(const QueryRequest& request,
                                    const PoolSeats& seats);

/// @brief Forwards a query to a peer and returns the peer's answer.
///
/// Tries the next target when there was no connection to the peer or the peer
/// refused the query without running it; for an idempotent query also when the
/// connection was lost or the peer did not answer in time.
[[nodiscard]] QueryAnswer ForwardQuery(
    Forwarder& forwarder,
    const QueryRequest& request,
    const std::string& body,
    const std::vector<std::string>& targets,
    const std::function<bool()>& caller_gone);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_FORWARD_QUERY_H_
