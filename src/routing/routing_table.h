#ifndef CLEMENTINERILL_ROUTING_ROUTING_TABLE_H_
#define CLEMENTINERILL_ROUTING_ROUTING_TABLE_H_

#include <cstdint>
#include <map>
#include <string>

#include "config/route.h"
#include "routing/routing_pool.h"

namespace clementinerill {

/// @brief Routing data read by traffic threads. Immutable once published.
struct RoutingTable {
  uint64_t configuration_version_ = 0;
  std::map<std::string, Route> routes_;
  std::map<std::string, RoutingPool> pools_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROUTING_ROUTING_TABLE_H_
