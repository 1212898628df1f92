#ifndef CLEMENTINERILL_HTTP_HTTP_MESSAGE_H_
#define CLEMENTINERILL_HTTP_HTTP_MESSAGE_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace clementinerill::http {

/// @brief Header fields as names and values, in message order.
using Headers = std::vector<std::pair<std::string, std::string>>;

/// @brief A complete request including its body.
struct HttpRequest {
  std::string method_;
  std::string target_;  ///< Path and query as received or sent, not decoded.
  Headers headers_;
  std::string body_;
  bool keep_alive_ = true;
};

/// @brief A complete response including its body.
struct HttpResponse {
  int status_ = 0;
  Headers headers_;
  std::string body_;
  bool keep_alive_ = true;
};

/// @brief The value of the first field named `name`, ignoring case; empty if
/// there is none.
[[nodiscard]] std::string_view FindHeader(const Headers& headers,
                                          std::string_view name) noexcept;

/// @brief Whether two field names are equal, ignoring case.
[[nodiscard]] bool IsSameHeaderName(std::string_view a,
                                    std::string_view b) noexcept;

/// @brief The end-to-end fields, which a proxy forwards.
///
/// Omits the hop-by-hop fields of RFC 9110 section 7.6.1, the fields that
/// `Connection` names, and `Content-Length`, which `ToBytes` computes.
[[nodiscard]] Headers EndToEndHeaders(const Headers& headers);

/// @brief Serializes a request; adds `Content-Length` if it has a body or its
/// method expects one.
[[nodiscard]] std::string ToBytes(const HttpRequest& request);

/// @brief Serializes a response; adds `Content-Length` if its status allows a
/// body.
///
/// `close` adds `Connection: close`. With `is_head`, for the response to a HEAD
/// request, the body is omitted.
[[nodiscard]] std::string ToBytes(const HttpResponse& response,
                                  bool close,
                                  bool is_head);

/// @brief The reason phrase of a status code; empty if it is unknown.
[[nodiscard]] std::string_view ReasonPhrase(int status);

}  // namespace clementinerill::http

#endif  // CLEMENTINERILL_HTTP_HTTP_MESSAGE_H_
