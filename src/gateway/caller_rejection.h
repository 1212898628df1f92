#ifndef CLEMENTINERILL_GATEWAY_CALLER_REJECTION_H_
#define CLEMENTINERILL_GATEWAY_CALLER_REJECTION_H_

#include <memory>

#include "gateway/session_context.h"
#include "http/http_message.h"
#include "http/server_connection.h"

namespace clementinerill::gateway {

/// @brief Drops a request whose caller has closed the connection while the
/// request waited to be read. Returns whether it was dropped.
[[nodiscard]] bool DropIfCallerLeft(
    SessionContext& context,
    const std::shared_ptr<http::ServerConnection>& caller,
    const http::HttpRequest& request);

/// @brief Refuses a request because this daemon has no configuration yet.
void RejectUnconfigured(SessionContext& context,
                        const std::shared_ptr<http::ServerConnection>& caller,
                        const http::HttpRequest& request);

/// @brief Answers a request that matches no route.
void RejectUnrouted(SessionContext& context,
                    const std::shared_ptr<http::ServerConnection>& caller,
                    const http::HttpRequest& request);

/// @brief Refuses a request because this daemon stops before it could answer.
void RejectStopping(SessionContext& context,
                    const std::shared_ptr<http::ServerConnection>& caller,
                    const http::HttpRequest& request);

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_CALLER_REJECTION_H_
