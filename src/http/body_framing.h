#ifndef CLEMENTINERILL_HTTP_BODY_FRAMING_H_
#define CLEMENTINERILL_HTTP_BODY_FRAMING_H_

#include <boost/beast/http/field.hpp>

#include "http/http_message.h"
#include "http/parsed_headers.h"

namespace clementinerill::http {

/// @brief How the end of a message body is determined.
enum class BodyFraming {
  kSupported,          ///< By its length or by the chunked coding alone.
  kUnknownEnd,         ///< The chunked coding is not the last one.
  kUnsupportedCoding,  ///< Its end is known, but it has another coding.
};

/// @brief Checks the `Transfer-Encoding` fields of a message, RFC 9112 section
/// 6.
///
/// Boost.Beast decodes the chunked coding and ignores all others, so that it
/// takes a request with an unknown end for one without a body. `is_http_1_0`:
/// whether the message is HTTP/1.0, which has no transfer codings.
[[nodiscard]] BodyFraming CheckBodyFraming(const Headers& headers,
                                           bool is_http_1_0);

/// @brief Checks the header section of a message parsed by Boost.Beast.
template <typename Message>
[[nodiscard]] BodyFraming CheckBodyFraming(const Message& message) {
  constexpr unsigned kHttp10 = 10;  // As Boost.Beast represents the version.
  if (message.find(boost::beast::http::field::transfer_encoding) ==
      message.end()) {
    return BodyFraming::kSupported;
  }
  return CheckBodyFraming(CopyHeaders(message), message.version() == kHttp10);
}

}  // namespace clementinerill::http

#endif  // CLEMENTINERILL_HTTP_BODY_FRAMING_H_
