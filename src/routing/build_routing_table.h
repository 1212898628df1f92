#ifndef CLEMENTINERILL_ROUTING_BUILD_ROUTING_TABLE_H_
#define CLEMENTINERILL_ROUTING_BUILD_ROUTING_TABLE_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "config/configuration.h"
#include "routing/routing_table.h"

namespace clementinerill {

/// @brief What restricts the configuration at this daemon and this time.
struct RoutingRestrictions {
  /// Seats that this daemon may use, for each pool.
  std::map<std::string, std::vector<int>> seats_;
  /// Failure domains taken out by advisory, beyond the configuration.
  std::set<std::string> failure_domains_out_;
  /// Upstreams that are leaving.
  std::set<std::string> upstreams_leaving_;
};

/// @brief Computes the table that traffic threads use.
[[nodiscard]] RoutingTable BuildRoutingTable(
    const Configuration& configuration,
    const RoutingRestrictions& restrictions);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROUTING_BUILD_ROUTING_TABLE_H_
