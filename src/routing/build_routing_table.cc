#include "routing/build_routing_table.h"

#include <utility>

namespace clementinerill {
namespace {

bool AcceptsNewRequests(const Configuration& configuration,
                        const RoutingRestrictions& restrictions,
                        const Upstream& upstream) {
  const FailureDomain* domain =
      FindFailureDomain(configuration, upstream.failure_domain_);
  const bool in_service =
      domain != nullptr && domain->in_service_ &&
      restrictions.failure_domains_out_.count(domain->name_) == 0;
  return in_service &&
         restrictions.upstreams_leaving_.count(upstream.name_) == 0;
}

RoutingPool BuildPool(const Configuration& configuration,
                      const RoutingRestrictions& restrictions,
                      const Pool& pool) {
  RoutingPool routing_pool;
  routing_pool.pool_ = pool;
  for (const Service* service : ServicesOfPool(configuration, pool.name_)) {
    RoutingService routing_service;
    routing_service.name_ = service->name_;
    for (const Upstream& upstream : service->upstreams_) {
      RoutingTarget target;
      target.upstream_ = upstream;
      target.open_ = AcceptsNewRequests(configuration, restrictions, upstream);
      routing_service.targets_.push_back(std::move(target));
    }
    routing_pool.services_.push_back(std::move(routing_service));
  }
  return routing_pool;
}

}  // namespace

RoutingTable BuildRoutingTable(const Configuration& configuration,
                               const RoutingRestrictions& restrictions) {
  RoutingTable table;
  table.configuration_version_ = configuration.version_;
  for (const Route& route : configuration.routes_) {
    table.routes_[route.name_] = route;
  }
  for (const Pool& pool : configuration.pools_) {
    table.pools_[pool.name_] = BuildPool(configuration, restrictions, pool);
  }
  return table;
}

}  // namespace clementinerill
