#ifndef CLEMENTINERILL_HTTP_HTTP_MESSAGE_H_
#define CLEMENTINERILL_HTTP_HTTP_MESSAGE_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace clementinerill::http {

/// @brief Header fields in the order of the message.
using Headers = std::vector<std::pair<std::string, std::string>>;

/// @brief A complete request with its whole body.
struct HttpRequest {
  std::string method_;
  std::string target_;  ///< Path and query as sent.
  Headers headers_;
  std::string body_;
  bool keep_alive_ = true;
};

/// @brief A complete answer with its whole body.
struct HttpResponse {
  int status_ = 0;
  Headers headers_;
  std::string body_;
  bool keep_alive_ = true;
};

/// @brief The value of the first field with that name, in any case; empty
/// when there is none.
[[nodiscard]] std::string_view FindHeader(const Headers& headers,
                                          std::string_view name) noexcept;

/// @brief Whether two field names are equal in any case.
[[nodiscard]] bool IsSameHeaderName(std::string_view a,
                                    std::string_view b) noexcept;

/// @brief The fields that concern the whole way and not one connection.
///
/// Leaves out the hop-by-hop fields of RFC 9110 section 7.6.1, the fields
/// that `Connection` names, and `Content-Length`, which each side computes.
[[nodiscard]] Headers EndToEndHeaders(const Headers& headers);

/// @brief The bytes of a request with the length of its body.
[[nodiscard]] std::string ToBytes(const HttpRequest& request);

/// @brief The bytes of an answer with the length of its body.
///
/// `close` adds `Connection: close`. An answer to HEAD has a length and no
/// body.
[[nodiscard]] std::string ToBytes(const HttpResponse& answer,
                                  bool close,
                                  bool is_head);

/// @brief The reason phrase of a status; empty when unknown.
[[nodiscard]] std::string_view ReasonPhrase(int status);

}  // namespace clementinerill::http

#endif  // CLEMENTINERILL_HTTP_HTTP_MESSAGE_H_
