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

/// @brief The daemons to forward a query to, in the order to try them.
///
/// A request with an idempotency key goes to the holder of one seat, the same
/// from every daemon; others start at a holder chosen by the request id.
[[nodiscard]] std::vector<std::string> ForwardTargets(
    const QueryRequest& request,
    const PoolSeats& seats,
    const std::string& self);

/// @brief The daemon that answers for the idempotency key of a request; empty
/// when it is unknown.
[[nodiscard]] std::string KeyHolder(const QueryRequest& request,
                                    const PoolSeats& seats);

/// @brief Forwards a whole query and returns the answer of the peer.
///
/// Tries the next target after a link was missing or the peer refused without
/// running; an idempotent query also after the link was lost.
[[nodiscard]] QueryAnswer ForwardQuery(
    Forwarder& forwarder,
    const QueryRequest& request,
    const std::string& body,
    const std::vector<std::string>& targets,
    const std::function<bool()>& caller_gone);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_FORWARD_QUERY_H_
