#ifndef CLEMENTINERILL_UPSTREAM_EXCHANGE_REQUEST_H_
#define CLEMENTINERILL_UPSTREAM_EXCHANGE_REQUEST_H_

#include <optional>
#include <string>

#include "base/time.h"
#include "sweep/snapshot.h"

namespace clementinerill {

/// @brief One request to one upstream.
struct ExchangeRequest {
  std::string path_ = "/query";
  std::string request_id_;
  std::string attempt_id_;  ///< Unique; names the attempt for cancellation.
  std::string idempotency_key_;
  std::optional<Snapshot> snapshot_;
  std::string body_;
  Instant deadline_;
  bool fans_out_ = true;    ///< The answer carries hits and a key range.
  bool idempotent_ = true;  ///< False: needs a proven connection.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_UPSTREAM_EXCHANGE_REQUEST_H_
