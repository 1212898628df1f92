#ifndef CLEMENTINERILL_GATEWAY_REPLICA_EXCHANGE_H_
#define CLEMENTINERILL_GATEWAY_REPLICA_EXCHANGE_H_

#include <optional>
#include <string>
#include <string_view>

#include "gateway/wire_names.h"
#include "http/client_connection.h"
#include "http/http_message.h"
#include "traffic/advance_query.h"

namespace clementinerill::gateway {

/// @brief Returns the serialized request of a caller for a replica. It states
/// the time that is left at `now`.
[[nodiscard]] std::string MakeReplicaRequest(
    const http::HttpRequest& caller_request,
    const traffic::Query& query,
    const traffic::ReplicaEntry& replica,
    const WireNames& names,
    Instant now);

/// @brief Returns the exchange for the request of a caller, still without its
/// bytes.
[[nodiscard]] http::ExchangeRequest MakeReplicaExchange(
    const http::HttpRequest& caller_request,
    const traffic::Query& query,
    const WireNames& names);

/// @brief Returns the outcome of an attempt from the result of its exchange.
[[nodiscard]] traffic::AttemptOutcome ClassifyExchange(
    const http::ExchangeResult& result,
    const traffic::RouteRule& route,
    const WireNames& names);

/// @brief Parses the idle timeout of a `Keep-Alive` header such as
/// `timeout=5, max=100`.
[[nodiscard]] std::optional<Duration> ParseKeepAlive(std::string_view text);

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_REPLICA_EXCHANGE_H_
