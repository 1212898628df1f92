#ifndef CLEMENTINERILL_CONNECTIONS_CONNECTION_RECORD_H_
#define CLEMENTINERILL_CONNECTIONS_CONNECTION_RECORD_H_

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace clementinerill {

/// @brief What is known about one open connection to an upstream.
struct ConnectionRecord {
  uint64_t id_ = 0;
  Instant last_response_;  ///< Opening counts as an answer.
  /// Start of the exchange in progress; nothing while idle.
  std::optional<Instant> exchange_started_;
  /// The exchange is non-idempotent and is left to run to its deadline.
  bool protected_ = false;
  /// Time at which the upstream confirmed the cancellation of the exchange.
  std::optional<Instant> cancel_confirmed_;
  bool condemned_ = false;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONNECTIONS_CONNECTION_RECORD_H_
