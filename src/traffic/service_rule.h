#ifndef CLEMENTINERILL_TRAFFIC_SERVICE_RULE_H_
#define CLEMENTINERILL_TRAFFIC_SERVICE_RULE_H_

#include <string>

#include "base/time.h"

namespace clementinerill::traffic {

/// @brief What operators declare about the replicas of one service.
struct ServiceRule {
  std::string name_;
  std::string health_path_;
  int max_connections_ = 0;  ///< Per replica, over all daemons; 0 is unknown.
  Duration warmup_{};        ///< How long a replica is cold after its start.
  /// Requests that a cold replica takes in a second, over all daemons. 0 means
  /// that the configuration states no rate.
  double cold_requests_per_s_ = 0;
};

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_SERVICE_RULE_H_
