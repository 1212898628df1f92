#ifndef CLEMENTINERILL_DAEMON_QUERY_ANSWER_JSON_H_
#define CLEMENTINERILL_DAEMON_QUERY_ANSWER_JSON_H_

#include <optional>
#include <string>

#include "sweep/query_answer.h"

namespace clementinerill {

/// @brief Serializes an answer to the JSON text that callers receive.
[[nodiscard]] std::string ToJsonText(const QueryAnswer& answer);

/// @brief Parses the output of `ToJsonText`; `std::nullopt` when malformed.
[[nodiscard]] std::optional<QueryAnswer> ParseQueryAnswer(
    const std::string& text);

/// @brief The HTTP status code for an answer.
[[nodiscard]] int HttpStatusOf(const QueryAnswer& answer) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_QUERY_ANSWER_JSON_H_
