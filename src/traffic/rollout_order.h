#ifndef CLEMENTINERILL_TRAFFIC_ROLLOUT_ORDER_H_
#define CLEMENTINERILL_TRAFFIC_ROLLOUT_ORDER_H_

#include <string>

namespace clementinerill::traffic {

/// @brief How much of a service's traffic its new version takes now.
struct RolloutOrder {
  std::string service_;
  std::string target_version_;
  /// Share of requests for replicas of the target version, from 0 to 1.
  double target_share_ = 0;
};

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_ROLLOUT_ORDER_H_
