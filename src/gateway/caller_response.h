#ifndef CLEMENTINERILL_GATEWAY_CALLER_RESPONSE_H_
#define CLEMENTINERILL_GATEWAY_CALLER_RESPONSE_H_

#include "gateway/wire_names.h"
#include "http/http_message.h"
#include "organisations/access.h"
#include "traffic/query.h"

namespace clementinerill::gateway {

/// @brief Returns the response to a request that may not run because of its API
/// key or an old configuration.
[[nodiscard]] http::HttpResponse AccessRefusalResponse(
    organisations::AccessRefusal refusal,
    const WireNames& names);

/// @brief Builds the response to the caller for a query that has an outcome.
///
/// The status is 503 only when no replica has executed the request and none
/// will. Other failures give 502 or 504, after which the caller cannot tell
/// whether the request was executed.
[[nodiscard]] http::HttpResponse MakeCallerResponse(const traffic::Query& query,
                                                    const WireNames& names,
                                                    Instant now);

/// @brief Whether callers take the status as a guarantee that the request has
/// not been executed and will not be.
[[nodiscard]] bool ImpliesNotExecuted(int status) noexcept;

/// @brief Builds a 503 for a request that no replica has executed.
/// `retry_after_s` is the value of `Retry-After`, in seconds.
[[nodiscard]] http::HttpResponse RefusalResponse(double retry_after_s);

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_CALLER_RESPONSE_H_
