#ifndef CLEMENTINERILL_ROLLOUT_ROUTE_TRAFFIC_H_
#define CLEMENTINERILL_ROLLOUT_ROUTE_TRAFFIC_H_

#include <string>

namespace clementinerill {

/// @brief Traffic of one route, as measured before the rollout.
struct RouteTraffic {
  std::string route_;
  double requests_per_second_ = 0;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROLLOUT_ROUTE_TRAFFIC_H_
