#include "traffic/fleet_state.h"

#include <algorithm>
#include <utility>

namespace clementinerill::traffic {
namespace {

// Connections to one replica when the configuration states no limit.
constexpr int kConnectionsWithoutLimit = 16;
// Parts of the connections of a replica for daemons in its failure domain and
// elsewhere; the rest is for connections that are closing while others open.
constexpr double kLocalConnections = 0.85;
constexpr double kRemoteConnections = 0.2;
// Part of the connections that is shared equally by daemons that have lost the
// replica of their own failure domain.
constexpr double kEqualConnections = 0.85;

// Evidence is kept while the order stays the same.
void ApplyRollout(ServiceState& service, const TrafficView& view) {
  const auto order = std::find_if(view.rollouts_.begin(), view.rollouts_.end(),
                                  [&service](const RolloutOrder& candidate) {
                                    return candidate.service_ == service.name_;
                                  });
  if (order == view.rollouts_.end()) {
    service.rollout_.reset();
  } else if (service.rollout_ &&
             IsSameOrder(service.rollout_->order_, *order)) {
    service.rollout_->order_ = *order;
  } else {
    service.rollout_.emplace();
    service.rollout_->order_ = *order;
  }
}

using Replicas = std::map<std::string, std::shared_ptr<ReplicaState>>;

Replicas KnownReplicas(const FleetState& fleet) {
  Replicas known;
  for (const auto& [name, service] : fleet.services_) {
    for (const auto& replica : service->replicas_) {
      known[replica->entry_.id_] = replica;
    }
  }
  return known;
}

std::shared_ptr<ReplicaState> Adopt(const Replicas& known,
                                    const ReplicaEntry& entry) {
  const auto found = known.find(entry.id_);
  if (found != known.end() && IsSameProcess(found->second->entry_, entry)) {
    found->second->entry_ = entry;
    return found->second;
  }
  auto replica = std::make_shared<ReplicaState>();
  replica->entry_ = entry;
  return replica;
}

ServiceState& ServiceOf(FleetState& fleet, const std::string& name) {
  auto& service = fleet.services_[name];
  if (!service) {
    service = std::make_shared<ServiceState>();
    service->name_ = name;
    service->rule_.name_ = name;
  }
  return *service;
}

void MarkRouted(FleetState& fleet, const RouteRule& route) {
  for (const std::string& shard : route.shards_) {
    ServiceOf(fleet, shard).is_routed_ = true;
  }
  for (const WeightedService& destination : route.destinations_) {
    ServiceOf(fleet, destination.service_).is_routed_ = true;
  }
}

void ApplyRules(FleetState& fleet, const TrafficConfiguration& configuration) {
  for (auto& [name, service] : fleet.services_) {
    service->is_routed_ = false;
  }
  for (const auto& [host, routes] : configuration.routes_) {
    for (const RouteRule& route : routes) {
      MarkRouted(fleet, route);
    }
  }
  for (const auto& [name, rule] : configuration.services_) {
    ServiceOf(fleet, name).rule_ = rule;
  }
}

struct DaemonCounts {
  int local_ = 0;  ///< In the failure domain of the replica.
  int remote_ = 0;
};

DaemonCounts CountAround(const FleetState& fleet, const ReplicaState& replica) {
  const auto& by_domain = fleet.view_->daemons_;
  const auto found = by_domain.find(replica.entry_.failure_domain_);
  const int local = found == by_domain.end() ? 0 : found->second;
  return {local, CountDaemons(*fleet.view_) - local};
}

// The connections to one replica that fall to this daemon; may be below one.
double ConnectionShare(const FleetState& fleet,
                       const ServiceState& service,
                       const ReplicaState& replica) {
  const int most = service.rule_.max_connections_;
  if (most <= 0) {
    return kConnectionsWithoutLimit;
  }
  const DaemonCounts daemons = CountAround(fleet, replica);
  if (fleet.view_->daemons_.empty()) {
    return kLocalConnections * most / daemons.remote_;
  }
  if (replica.entry_.failure_domain_ == fleet.failure_domain_) {
    return kLocalConnections * most / std::max(daemons.local_, 1);
  }
  return kRemoteConnections * most / std::max(daemons.remote_, 1);
}

// An equal share for all daemons.
double EqualConnectionShare(const FleetState& fleet,
                            const ServiceState& service) {
  return kEqualConnections * service.rule_.max_connections_ /
         CountDaemons(*fleet.view_);
}

}  // namespace

void ApplyView(FleetState& fleet, std::shared_ptr<const TrafficView> view) {
  const Replicas known = KnownReplicas(fleet);
  for (auto& [name, service] : fleet.services_) {
    service->replicas_.clear();
  }
  const bool is_new =
      !fleet.view_ || fleet.view_->configuration_ != view->configuration_;
  if (view->configuration_ && is_new) {
    ApplyRules(fleet, *view->configuration_);
  }
  for (const ReplicaEntry& entry : view->replicas_) {
    ServiceOf(fleet, entry.service_).replicas_.push_back(Adopt(known, entry));
  }
  for (auto& [name, service] : fleet.services_) {
    ApplyRollout(*service, *view);
  }
  fleet.view_ = std::move(view);
}

std::shared_ptr<ServiceState> FindService(const FleetState& fleet,
                                          std::string_view name) {
  const auto found = fleet.services_.find(name);
  return found == fleet.services_.end() ? nullptr : found->second;
}

const LatencyEstimate& RouteLatency(const FleetState& fleet,
                                    const RouteRule& route) {
  static const LatencyEstimate initial{kInitialLatency};
  const auto found = fleet.routes_.find(route.name_);
  return found == fleet.routes_.end() ? initial : found->second.latency_;
}

int ConnectionLimit(const FleetState& fleet,
                    const ServiceState& service,
                    const ReplicaState& replica,
                    bool has_local_replica) {
  const double share = ConnectionShare(fleet, service, replica);
  const double least =
      has_local_replica ? 1.0 : EqualConnectionShare(fleet, service);
  return static_cast<int>(std::max({1.0, share, least}));
}

bool MayKeepIdle(const FleetState& fleet,
                 const ServiceState& service,
                 const ReplicaState& replica) {
  return ConnectionShare(fleet, service, replica) >= 1.0;
}

}  // namespace clementinerill::traffic
