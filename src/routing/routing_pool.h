#ifndef CLEMENTINERILL_ROUTING_ROUTING_POOL_H_
#define CLEMENTINERILL_ROUTING_ROUTING_POOL_H_

#include <vector>

#include "config/pool.h"
#include "routing/routing_service.h"

namespace clementinerill {

/// @brief One pool as this daemon sees it.
struct RoutingPool {
  Pool pool_;
  bool holds_seat_ = false;      ///< Whether this daemon may send to the pool.
  std::vector<int> held_seats_;  ///< Seats that this daemon may use.
  std::vector<RoutingService> services_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROUTING_ROUTING_POOL_H_
