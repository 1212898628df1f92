#include "traffic/traffic_configuration.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace clementinerill::traffic {
namespace {

std::string NormalisedHost(std::string_view host) {
  const size_t colon = host.find(':');
  std::string name(host.substr(0, colon));
  std::transform(name.begin(), name.end(), name.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return name;
}

}  // namespace

void AddRoute(TrafficConfiguration& configuration, RouteRule route) {
  auto& routes = configuration.routes_[NormalisedHost(route.host_)];
  const auto position = std::find_if(
      routes.begin(), routes.end(), [&route](const RouteRule& other) {
        return other.path_prefix_.size() < route.path_prefix_.size();
      });
  routes.insert(position, std::move(route));
}

const RouteRule* FindRoute(const TrafficConfiguration& configuration,
                           std::string_view host,
                           std::string_view target) {
  const auto found = configuration.routes_.find(NormalisedHost(host));
  if (found == configuration.routes_.end()) {
    return nullptr;
  }
  const std::string_view path = target.substr(0, target.find_first_of("?#"));
  for (const RouteRule& route : found->second) {
    if (path.substr(0, route.path_prefix_.size()) == route.path_prefix_) {
      return &route;
    }
  }
  return nullptr;
}

}  // namespace clementinerill::traffic
