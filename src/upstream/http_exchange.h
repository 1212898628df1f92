#ifndef CLEMENTINERILL_UPSTREAM_HTTP_EXCHANGE_H_
#define CLEMENTINERILL_UPSTREAM_HTTP_EXCHANGE_H_

#include <string>

#include "base/result.h"
#include "upstream/exchange_request.h"
#include "upstream/exchange_result.h"
#include "upstream/upstream_session.h"

namespace clementinerill {

/// @brief Sends one request and waits for its whole answer.
///
/// Blocks until the answer, the deadline of the request or a failure. Any
/// result but an answered one (see `IsWholeAnswer`) leaves the session in an
/// unknown state; the caller must close it.
[[nodiscard]] ExchangeResult RunExchange(UpstreamSession& session,
                                         const ExchangeRequest& request,
                                         Instant now);

/// @brief Whether the session is at a message boundary after `result`.
[[nodiscard]] bool IsWholeAnswer(const ExchangeResult& result) noexcept;

/// @brief Sends a request without a body and reads the whole answer.
/// @return The HTTP status and signals, or the error.
[[nodiscard]] Result<UpstreamSignals> RunControlExchange(
    UpstreamSession& session,
    const std::string& method,
    const std::string& path,
    Duration timeout);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_UPSTREAM_HTTP_EXCHANGE_H_
