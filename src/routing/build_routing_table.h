#ifndef CLEMENTINERILL_ROUTING_BUILD_ROUTING_TABLE_H_
#define CLEMENTINERILL_ROUTING_BUILD_ROUTING_TABLE_H_

#include <set>
#include <string>

#include "config/configuration.h"
#include "routing/routing_table.h"

namespace clementinerill {

/// @brief What restricts the configuration at this daemon and this time.
struct RoutingRestrictions {
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
