#ifndef CLEMENTINERILL_GATEWAY_CALLER_ACCESS_H_
#define CLEMENTINERILL_GATEWAY_CALLER_ACCESS_H_

#include <optional>
#include <string_view>

#include "gateway/session_context.h"
#include "http/http_message.h"
#include "http/request_head.h"
#include "organisations/access.h"
#include "traffic/query.h"

namespace clementinerill::gateway {

/// @brief Decides about a request of a caller by its head. Returns the response
/// if it is refused, which is counted and logged.
[[nodiscard]] std::optional<http::HttpResponse> CheckHead(
    SessionContext& context,
    const http::RequestHead& head);

/// @brief The decision about a complete request; a refusal comes with its
/// response, and is counted and logged.
struct RequestAccess {
  std::optional<http::HttpResponse> refusal_;
  organisations::Credential credential_;
};

/// @brief Decides about a complete request of a caller. The configuration may
/// have changed while its body was received.
[[nodiscard]] RequestAccess CheckRequest(SessionContext& context,
                                         const http::HttpRequest& request,
                                         const traffic::RouteRule& route);

/// @brief Removes the fields that a caller must not pass on to replicas and
/// other daemons; does nothing if there are no organisations.
void RemoveAccessHeaders(const traffic::FleetState& fleet,
                         const WireNames& names,
                         http::Headers& headers);

/// @brief Decides again whether a request may leave for a replica or another
/// daemon. `started_with` is the configuration with which it was accepted.
[[nodiscard]] std::optional<organisations::AccessRefusal> RecheckAccess(
    const traffic::FleetState& fleet,
    const traffic::TrafficConfiguration& started_with,
    const traffic::RouteRule& route,
    const organisations::Credential& credential);

/// @brief Decides about a query that another daemon forwards. A refusal is
/// counted and logged.
[[nodiscard]] bool MayRunForwarded(SessionContext& context,
                                   const http::HttpRequest& request,
                                   const traffic::RouteRule& route,
                                   std::string_view organisation);

/// @brief Sets `Query::access_refusal_` if no further attempt may be sent.
void RecheckAccess(SessionContext& context, traffic::Query& query);

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_CALLER_ACCESS_H_
