#ifndef CLEMENTINERILL_TRAFFIC_SERVICE_RULE_H_
#define CLEMENTINERILL_TRAFFIC_SERVICE_RULE_H_

#include <string>

#include "base/time.h"

namespace clementinerill::traffic {

/// @brief Configuration of one service that applies to each of its replicas.
struct ServiceRule {
  std::string name_;
  std::string health_path_;
  int max_connections_ = 0;  ///< Per replica, over all daemons; 0 if unknown.
  Duration warmup_{};        ///< How long a replica is cold after its start.
  /// Requests per second that a cold replica can handle, over all daemons; 0 if
  /// not configured.
  double cold_requests_per_s_ = 0;
};

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_SERVICE_RULE_H_
