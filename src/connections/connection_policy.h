#ifndef CLEMENTINERILL_CONNECTIONS_CONNECTION_POLICY_H_
#define CLEMENTINERILL_CONNECTIONS_CONNECTION_POLICY_H_

#include <chrono>

#include "base/time.h"

namespace clementinerill {

/// @brief Limits for the connections to one upstream.
struct ConnectionPolicy {
  int max_connections_ = 1;  ///< Connections that this daemon may hold at once.
  int min_idle_ = 1;         ///< Idle connections to keep open.
  /// An exchange that runs longer than this may be on a silent connection.
  Duration stall_threshold_ = std::chrono::milliseconds(200);
  /// A connection counts as proven for this long after an answer.
  Duration proof_lifetime_ = std::chrono::seconds(1);
  /// Time for the answer to a cancelled exchange to arrive.
  Duration cancel_grace_ = std::chrono::milliseconds(100);
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONNECTIONS_CONNECTION_POLICY_H_
