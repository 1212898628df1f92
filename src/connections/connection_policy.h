#ifndef CLEMENTINERILL_CONNECTIONS_CONNECTION_POLICY_H_
#define CLEMENTINERILL_CONNECTIONS_CONNECTION_POLICY_H_

#include <chrono>

#include "base/time.h"

namespace clementinerill {

/// @brief Limits of the connection pool of one upstream.
struct ConnectionPolicy {
  int max_connections_ = 1;  ///< Open connections of this daemon.
  int min_idle_ = 1;         ///< Idle connections to keep open.
  /// An exchange that takes at least this long may be on a silent connection.
  Duration stall_threshold_ = std::chrono::milliseconds(200);
  /// After a response, a connection is assumed to work for this long.
  Duration response_validity_ = std::chrono::seconds(1);
  /// Time to wait for the response to an exchange after its cancellation was
  /// confirmed.
  Duration cancel_grace_ = std::chrono::milliseconds(100);
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONNECTIONS_CONNECTION_POLICY_H_
