#include "traffic/fleet_state.h"

#include <algorithm>
#include <utility>

#include "traffic/connection_shares.h"

namespace clementinerill::traffic {
namespace {

// Keeps the collected evidence while the order stays the same.
void ApplyRollout(ServiceState& service, const TrafficView& view) {
  const auto order = std::find_if(view.rollouts_.begin(), view.rollouts_.end(),
                                  [&service](const RolloutOrder& candidate) {
                                    return candidate.service_ == service.name_;
                                  });
  if (order == view.rollouts_.end()) {
    service.rollout_.reset();
    service.version_share_.reset();
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

std::shared_ptr<ReplicaState> FindOrCreateReplica(const Replicas& known,
                                                  const Departures& departures,
                                                  const ReplicaEntry& entry) {
  const auto found = known.find(entry.id_);
  if (found != known.end() && IsSameProcess(found->second->entry_, entry)) {
    found->second->entry_ = entry;
    return found->second;
  }
  auto replica = std::make_shared<ReplicaState>();
  replica->entry_ = entry;
  replica->departure_reported_at_ = FindDeparture(departures, entry);
  return replica;
}

ServiceState& GetOrCreateService(FleetState& fleet, const std::string& name) {
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
    ServiceState& service = GetOrCreateService(fleet, shard);
    service.is_routed_ = true;
    service.is_aggregated_ = service.is_aggregated_ || IsAggregated(route);
  }
  for (const WeightedService& destination : route.destinations_) {
    GetOrCreateService(fleet, destination.service_).is_routed_ = true;
  }
}

void ApplyRules(FleetState& fleet, const TrafficConfiguration& configuration) {
  for (auto& [name, service] : fleet.services_) {
    service->is_routed_ = false;
    service->is_aggregated_ = false;
  }
  for (const auto& [host, routes] : configuration.routes_) {
    for (const RouteRule& route : routes) {
      MarkRouted(fleet, route);
    }
  }
  for (const auto& [name, rule] : configuration.services_) {
    GetOrCreateService(fleet, name).rule_ = rule;
  }
}

std::map<std::string, int> CountShardReplicas(const FleetState& fleet) {
  std::map<std::string, int> counts;
  for (const auto& [name, service] : fleet.services_) {
    if (!service->is_aggregated_) {
      continue;
    }
    for (const auto& replica : service->replicas_) {
      const ReplicaEntry& entry = replica->entry_;
      if (!entry.leaving_since_ &&
          fleet.view_->evacuated_.count(entry.failure_domain_) == 0) {
        ++counts[entry.failure_domain_];
      }
    }
  }
  return counts;
}

// Plans again only after a change, because plans are made from all daemons.
void UpdateAggregation(FleetState& fleet) {
  AggregationInput& input = fleet.aggregation_input_;
  auto domains = ShardDomains(CountShardReplicas(fleet));
  if (input.daemons_ == fleet.view_->aggregators_ &&
      input.shard_domains_ == domains) {
    return;
  }
  input = {fleet.name_, fleet.failure_domain_, fleet.region_,
           fleet.view_->aggregators_, std::move(domains)};
  fleet.aggregation_ = PlanAggregation(input);
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
    GetOrCreateService(fleet, entry.service_)
        .replicas_.push_back(
            FindOrCreateReplica(known, fleet.departures_, entry));
  }
  fleet.view_ = std::move(view);
  UpdateAggregation(fleet);
  for (auto& [name, service] : fleet.services_) {
    ApplyRollout(*service, *fleet.view_);
    AssignPreferredReplicas(fleet, *service);
  }
}

void ApplyVersionShares(FleetState& fleet,
                        const std::vector<VersionShare>& shares) {
  for (const VersionShare& share : shares) {
    const auto service = FindService(fleet, share.service_);
    if (service) {
      service->version_share_ = share;
    }
  }
}

bool IsTargetVersion(const ServiceState& service,
                     const ReplicaState& replica) noexcept {
  return service.rollout_ &&
         replica.entry_.version_ == service.rollout_->order_.target_version_;
}

std::vector<VersionComparison> RolloutEvidence(const FleetState& fleet) {
  std::vector<VersionComparison> all;
  for (const auto& [name, service] : fleet.services_) {
    if (!service->rollout_ ||
        service->rollout_->order_.state_ != RolloutState::kInProgress) {
      continue;
    }
    VersionComparison evidence = *service->rollout_;
    for (const auto& [route, outcomes] : evidence.routes_) {
      const auto state = fleet.routes_.find(route);
      if (state != fleet.routes_.end()) {
        evidence.latencies_[route] =
            MakeLatencyHistogram(state->second.latency_.Samples());
      }
    }
    all.push_back(std::move(evidence));
  }
  return all;
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

}  // namespace clementinerill::traffic
