#include "routing/build_routing_table.h"

#include <utility>

#include "routing/seat_share.h"

namespace clementinerill {
namespace {

bool IsOpen(const Configuration& configuration,
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
  RoutingPool built;
  built.pool_ = pool;
  const auto found = restrictions.seats_.find(pool.name_);
  const std::vector<int> held =
      found == restrictions.seats_.end() ? std::vector<int>() : found->second;
  built.holds_seat_ = !held.empty();
  built.held_seats_ = held;
  for (const Service* service : ServicesOfPool(configuration, pool.name_)) {
    RoutingService routed;
    routed.name_ = service->name_;
    for (const Upstream& upstream : service->upstreams_) {
      RoutingTarget target;
      target.upstream_ = upstream;
      target.slots_ =
          ShareOfSeats(pool.slots_, pool.seats_, held, upstream.name_);
      target.connections_ =
          ShareOfSeats(pool.connections_, pool.seats_, held, upstream.name_);
      target.open_ = IsOpen(configuration, restrictions, upstream);
      routed.targets_.push_back(std::move(target));
    }
    built.services_.push_back(std::move(routed));
  }
  return built;
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
