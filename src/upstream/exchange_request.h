#ifndef CLEMENTINERILL_UPSTREAM_EXCHANGE_REQUEST_H_
#define CLEMENTINERILL_UPSTREAM_EXCHANGE_REQUEST_H_

#include <optional>
#include <string>

#include "base/time.h"
#include "sweep/snapshot.h"

namespace clementinerill {

/// @brief A request to one upstream.
struct ExchangeRequest {
  std::string path_ = "/query";
  std::string request_id_;
  std::string attempt_id_;  ///< Unique; cancellation refers to it.
  std::string idempotency_key_;
  std::optional<Snapshot> snapshot_;
  std::string body_;
  Instant deadline_;
  bool fans_out_ = true;    ///< The response carries hits and a key range.
  bool idempotent_ = true;  ///< If false, requires a verified connection.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_UPSTREAM_EXCHANGE_REQUEST_H_
