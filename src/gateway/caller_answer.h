#ifndef CLEMENTINERILL_GATEWAY_CALLER_ANSWER_H_
#define CLEMENTINERILL_GATEWAY_CALLER_ANSWER_H_

#include "gateway/wire_names.h"
#include "http/http_message.h"
#include "traffic/query.h"

namespace clementinerill::gateway {

/// @brief The answer to a caller for a query that has an outcome.
///
/// A refusal is 503 only when no replica ran the request and none will;
/// anything else without an answer is 502 or 504, which promise nothing.
[[nodiscard]] http::HttpResponse AnswerOf(const traffic::Query& query,
                                          const WireNames& names,
                                          Instant now);

/// @brief A refusal of a request that no replica got, with the time in seconds
/// after which the caller should come back.
[[nodiscard]] http::HttpResponse RefusalAnswer(double retry_after_s);

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_CALLER_ANSWER_H_
