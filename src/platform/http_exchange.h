#ifndef CLEMENTINERILL_PLATFORM_HTTP_EXCHANGE_H_
#define CLEMENTINERILL_PLATFORM_HTTP_EXCHANGE_H_

#include <cstdint>
#include <string>

namespace clementinerill {

/// @brief Outcome of one HTTP exchange with the platform.
enum class HttpExchangeOutcome {
  kResponse,  ///< A complete response was received.
  kNotSent,   ///< No connection: the platform did not receive the request.
  kLost,      ///< The request may have been served; the response was lost.
};

/// @brief Result of one HTTP exchange with the platform.
struct HttpExchange {
  HttpExchangeOutcome outcome_ = HttpExchangeOutcome::kNotSent;
  int status_ = 0;        ///< HTTP status of the response; 0 without one.
  uint64_t version_ = 0;  ///< From `ETag`; 0 if absent or malformed.
  std::string body_;
  std::string reason_;  ///< Error text; set unless there is a response.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PLATFORM_HTTP_EXCHANGE_H_
