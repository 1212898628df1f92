#ifndef CLEMENTINERILL_ROUTING_ROUTING_POOL_H_
#define CLEMENTINERILL_ROUTING_ROUTING_POOL_H_

#include <vector>

#include "config/pool.h"
#include "routing/routing_service.h"

namespace clementinerill {

/// @brief A pool and its services.
struct RoutingPool {
  Pool pool_;
  std::vector<RoutingService> services_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROUTING_ROUTING_POOL_H_
