#ifndef CLEMENTINERILL_ROUTING_ROUTING_SERVICE_H_
#define CLEMENTINERILL_ROUTING_ROUTING_SERVICE_H_

#include <string>
#include <vector>

#include "routing/routing_target.h"

namespace clementinerill {

/// @brief A service of a pool and its upstreams.
struct RoutingService {
  std::string name_;
  std::vector<RoutingTarget> targets_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROUTING_ROUTING_SERVICE_H_
