#ifndef CLEMENTINERILL_TRAFFIC_TRAFFIC_CONFIGURATION_H_
#define CLEMENTINERILL_TRAFFIC_TRAFFIC_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/caller_limits.h"
#include "organisations/directory.h"
#include "traffic/route_rule.h"
#include "traffic/service_rule.h"

namespace clementinerill::traffic {

/// @brief One version of the routes, services and limits, applied atomically.
struct TrafficConfiguration {
  int64_t version_ = 0;  ///< Increases with each change; 0: no configuration.
  /// Routes by host, the longest path prefix first.
  std::map<std::string, std::vector<RouteRule>, std::less<>> routes_;
  std::map<std::string, ServiceRule, std::less<>> services_;
  CallerLimits limits_;
  /// Organisations whose requests are accepted; null if every request is.
  std::shared_ptr<const organisations::Directory> organisations_;
};

/// @brief Adds a route; keeps the routes of a host ordered by prefix length.
void AddRoute(TrafficConfiguration& configuration, RouteRule route);

/// @brief Returns the route of a request, or null if none matches.
///
/// `host` is case-insensitive and may include a port; `target` is the request
/// target with or without a query string. The longest matching prefix wins.
[[nodiscard]] const RouteRule* FindRoute(
    const TrafficConfiguration& configuration,
    std::string_view host,
    std::string_view target);

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_TRAFFIC_CONFIGURATION_H_
