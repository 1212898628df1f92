#ifndef CLEMENTINERILL_ROLLOUT_ROLLOUT_REQUEST_H_
#define CLEMENTINERILL_ROLLOUT_ROLLOUT_REQUEST_H_

#include <string>
#include <vector>

#include "rollout/route_traffic.h"
#include "rollout/wall_time.h"

namespace clementinerill {

/// @brief What an operator asks for.
struct RolloutRequest {
  std::string id_;  ///< Never used before; a stop holds for this id for good.
  std::string old_version_;
  std::string new_version_;
  std::string pool_;
  std::vector<RouteTraffic> routes_;
  WallTime target_;  ///< The new version has passed the last step by then.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROLLOUT_ROLLOUT_REQUEST_H_
