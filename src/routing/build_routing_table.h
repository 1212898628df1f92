#ifndef CLEMENTINERILL_ROUTING_BUILD_ROUTING_TABLE_H_
#define CLEMENTINERILL_ROUTING_BUILD_ROUTING_TABLE_H_

#include <set>
#include <string>

#include "config/configuration.h"
#include "routing/routing_table.h"

namespace clementinerill {

/// @brief Restrictions that currently apply on this daemon, in addition to the
/// configuration.
struct RoutingRestrictions {
  /// Failure domains that an advisory takes out of service, in addition to
  /// those that the configuration takes out.
  std::set<std::string> failure_domains_out_;
  /// Names of upstreams that are leaving.
  std::set<std::string> upstreams_leaving_;
};

/// @brief Builds the routing table that traffic threads read.
[[nodiscard]] RoutingTable BuildRoutingTable(
    const Configuration& configuration,
    const RoutingRestrictions& restrictions);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROUTING_BUILD_ROUTING_TABLE_H_
