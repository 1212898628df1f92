#ifndef CLEMENTINERILL_ROLLOUT_ROLLOUT_REQUEST_H_
#define CLEMENTINERILL_ROLLOUT_ROLLOUT_REQUEST_H_

#include <string>
#include <vector>

#include "rollout/route_traffic.h"
#include "rollout/wall_time.h"

namespace clementinerill {

/// @brief An operator's request for a rollout.
struct RolloutRequest {
  std::string id_;  ///< Must never be reused: a stop is permanent for its id.
  std::string old_version_;
  std::string new_version_;
  std::string pool_;
  std::vector<RouteTraffic> routes_;
  WallTime target_;  ///< Time by which the last step must have passed.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROLLOUT_ROLLOUT_REQUEST_H_
