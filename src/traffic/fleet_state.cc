#include "traffic/fleet_state.h"

#include <algorithm>
#include <utility>

namespace clementinerill::traffic {
namespace {

// Connections to one replica when the configuration states no limit.
constexpr int kConnectionsWithoutLimit = 16;
// Part of the connections of a replica that daemons share; the rest is for
// connections that are closing while new ones open.
constexpr double kConnectionsInUse = 0.9;

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

void ApplyRules(FleetState& fleet, const TrafficConfiguration& configuration) {
  for (const auto& [name, rule] : configuration.services_) {
    ServiceOf(fleet, name).rule_ = rule;
  }
}

}  // namespace

void ApplyView(FleetState& fleet, std::shared_ptr<const TrafficView> view) {
  const Replicas known = KnownReplicas(fleet);
  for (auto& [name, service] : fleet.services_) {
    service->replicas_.clear();
  }
  if (view->configuration_) {
    ApplyRules(fleet, *view->configuration_);
  }
  for (const ReplicaEntry& entry : view->replicas_) {
    ServiceOf(fleet, entry.service_).replicas_.push_back(Adopt(known, entry));
  }
  fleet.view_ = std::move(view);
}

std::shared_ptr<ServiceState> FindService(const FleetState& fleet,
                                          std::string_view name) {
  const auto found = fleet.services_.find(name);
  return found == fleet.services_.end() ? nullptr : found->second;
}

int ConnectionLimit(const ServiceState& service, int daemons) {
  if (service.rule_.max_connections_ <= 0) {
    return kConnectionsWithoutLimit;
  }
  const double share =
      service.rule_.max_connections_ * kConnectionsInUse / std::max(daemons, 1);
  return std::max(1, static_cast<int>(share));
}

}  // namespace clementinerill::traffic
