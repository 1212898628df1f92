#ifndef CLEMENTINERILL_PLATFORM_HTTP_EXCHANGE_H_
#define CLEMENTINERILL_PLATFORM_HTTP_EXCHANGE_H_

#include <cstdint>
#include <string>

namespace clementinerill {

/// @brief How one HTTP exchange with the platform ended.
enum class ExchangeEnd {
  kAnswered,  ///< A complete answer was read.
  kNotSent,   ///< No connection: the platform did not see the call.
  kLost,      ///< The call may have been served; the answer was lost.
};

/// @brief One HTTP exchange with the platform.
struct HttpExchange {
  ExchangeEnd end_ = ExchangeEnd::kNotSent;
  int status_ = 0;        ///< HTTP status of an answer.
  uint64_t version_ = 0;  ///< From `ETag`; 0 when absent or malformed.
  std::string body_;
  std::string reason_;  ///< Why there is no answer.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PLATFORM_HTTP_EXCHANGE_H_
