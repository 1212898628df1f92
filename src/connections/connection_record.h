#ifndef CLEMENTINERILL_CONNECTIONS_CONNECTION_RECORD_H_
#define CLEMENTINERILL_CONNECTIONS_CONNECTION_RECORD_H_

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace clementinerill {

/// @brief State of one open connection to an upstream.
struct ConnectionRecord {
  uint64_t id_ = 0;
  Instant last_response_;  ///< Initially the time of opening.
  /// Start of the exchange in progress; empty while idle.
  std::optional<Instant> exchange_started_;
  /// The exchange is non-idempotent: a stall does not condemn the connection,
  /// and the exchange may run until its deadline.
  bool protected_ = false;
  /// Time at which the upstream confirmed the cancellation of the exchange.
  std::optional<Instant> cancel_confirmed_;
  bool condemned_ = false;  ///< Found silent; closed and not reused.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONNECTIONS_CONNECTION_RECORD_H_
