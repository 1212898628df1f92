#ifndef CLEMENTINERILL_HTTP_REQUEST_ERROR_H_
#define CLEMENTINERILL_HTTP_REQUEST_ERROR_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill::http {

/// @brief Why a request is rejected before it reaches the handler of its
/// listener.
enum class RequestError {
  kMalformed,
  kUnknownEnd,         ///< The end of its body cannot be determined.
  kUnsupportedCoding,  ///< Its body has a coding that is not supported.
  kHeaderTooLarge,
  kBodyTooLarge,
  kTooSlow,   ///< It was not received in time.
  kNoMemory,  ///< The memory for requests is used up.
};

inline constexpr std::array<NameEntry<RequestError>, 7> kRequestErrorNames = {{
    {RequestError::kMalformed, "malformed"},
    {RequestError::kUnknownEnd, "unknown_end"},
    {RequestError::kUnsupportedCoding, "unsupported_coding"},
    {RequestError::kHeaderTooLarge, "header_too_large"},
    {RequestError::kBodyTooLarge, "body_too_large"},
    {RequestError::kTooSlow, "too_slow"},
    {RequestError::kNoMemory, "no_memory"},
}};

/// @brief Returns the status of the response, RFC 9110 section 15.
[[nodiscard]] constexpr int StatusOf(RequestError error) noexcept {
  switch (error) {
    case RequestError::kUnsupportedCoding:
      return 501;
    case RequestError::kHeaderTooLarge:
      return 431;
    case RequestError::kBodyTooLarge:
      return 413;
    case RequestError::kTooSlow:
      return 408;
    case RequestError::kNoMemory:
      return 503;
    case RequestError::kMalformed:
    case RequestError::kUnknownEnd:
      break;
  }
  return 400;
}

}  // namespace clementinerill::http

#endif  // CLEMENTINERILL_HTTP_REQUEST_ERROR_H_
