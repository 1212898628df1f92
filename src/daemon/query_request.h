#ifndef CLEMENTINERILL_DAEMON_QUERY_REQUEST_H_
#define CLEMENTINERILL_DAEMON_QUERY_REQUEST_H_

#include <string>

#include "base/time.h"
#include "config/route.h"

namespace clementinerill {

/// @brief A validated request of a caller.
struct QueryRequest {
  std::string request_id_;
  Route route_;
  std::string query_;  ///< Passed to the upstreams unchanged.
  std::string idempotency_key_;
  size_t top_ = 10;
  Instant deadline_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_QUERY_REQUEST_H_
