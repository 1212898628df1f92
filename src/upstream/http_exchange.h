#ifndef CLEMENTINERILL_UPSTREAM_HTTP_EXCHANGE_H_
#define CLEMENTINERILL_UPSTREAM_HTTP_EXCHANGE_H_

#include <string>

#include "base/result.h"
#include "upstream/exchange_request.h"
#include "upstream/exchange_result.h"
#include "upstream/upstream_session.h"

namespace clementinerill {

/// @brief Sends a request and waits for the complete response.
///
/// Blocks until the response is complete, the request's deadline has passed or
/// the exchange fails. Without a
/// complete response (see `IsWholeAnswer`) the state of the session is unknown
/// and the caller must close it.
[[nodiscard]] ExchangeResult RunExchange(UpstreamSession& session,
                                         const ExchangeRequest& request,
                                         Instant now);

/// @brief Whether `result` holds a complete response, which leaves the session
/// at a message boundary.
[[nodiscard]] bool IsWholeAnswer(const ExchangeResult& result) noexcept;

/// @brief Sends a request without a body and reads the complete response.
/// @return The signals of a response with status 200, or the error.
[[nodiscard]] Result<UpstreamSignals> RunControlExchange(
    UpstreamSession& session,
    const std::string& method,
    const std::string& path,
    Duration timeout);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_UPSTREAM_HTTP_EXCHANGE_H_
