#include "gateway/status_page.h"

#include "traffic/replica_eligibility.h"

namespace clementinerill::gateway {
namespace {

using nlohmann::json;
using traffic::FleetState;
using traffic::ReplicaState;
using traffic::ServiceState;

std::string TextOf(std::string_view text) {
  return std::string(text);
}

// Null for replicas that do not report their pace.
json CapacityStatus(const ReplicaState& replica, Instant now) {
  const capacity::Estimate& estimate = replica.estimate_;
  if (!capacity::IsLearned(estimate, now)) {
    return nullptr;
  }
  const int slots = replica.entry_.slots_;
  return {{"lasting_slowness", capacity::LastingSlowness(estimate, now)},
          {"pace", capacity::Pace(estimate, now)},
          {"handled_well", capacity::Capacity(estimate, slots, now)},
          {"accepted", capacity::AcceptedRequests(estimate, slots, now)},
          {"usual_busy", capacity::UsualBusy(estimate, now)},
          {"observations", capacity::Evidence(estimate, now)}};
}

json ReplicaStatus(const FleetState& fleet,
                   const ReplicaState& replica,
                   Instant now) {
  const auto standing = traffic::EligibilityOf(*fleet.view_, replica, now);
  return {
      {"id", replica.entry_.id_},
      {"address",
       replica.entry_.address_ + ":" + std::to_string(replica.entry_.port_)},
      {"failure_domain", replica.entry_.failure_domain_},
      {"version", replica.entry_.version_},
      {"standing", TextOf(NameOf(traffic::kReplicaEligibilityNames, standing))},
      {"preferred", replica.is_preferred_},
      {"cold", traffic::IsCold(replica, now)},
      {"paused", replica.paused_until_ > now},
      {"cold_share", replica.cold_share_.share_},
      {"slowness", traffic::Slowness(replica, now)},
      {"failure_share", traffic::FailureShare(replica, now)},
      {"failures_in_row", replica.failures_in_row_},
      {"requests", replica.outstanding_.size()},
      {"estimated_busy", traffic::EstimatedBusy(replica, now)},
      {"capacity", CapacityStatus(replica, now)},
      {"rate_limit",
       replica.rate_limit_ ? json(*replica.rate_limit_) : json(nullptr)},
      {"connections", replica.open_connections_}};
}

json ServiceStatus(const FleetState& fleet,
                   const ServiceState& service,
                   Instant now) {
  json replicas = json::array();
  for (const auto& replica : service.replicas_) {
    replicas.push_back(ReplicaStatus(fleet, *replica, now));
  }
  return {{"routed", service.is_routed_},
          {"extra_attempts", service.extra_attempt_budget_.SpentCount()},
          {"replicas", std::move(replicas)}};
}

json RolloutStatus(const FleetState& fleet) {
  json rollouts = json::array();
  for (const traffic::RolloutOrder& order : fleet.view_->rollouts_) {
    json rollout = {
        {"service", order.service_},
        {"target_version", order.target_version_},
        {"state", TextOf(NameOf(traffic::kRolloutStateNames, order.state_))}};
    const auto service = traffic::FindService(fleet, order.service_);
    if (service && service->rollout_) {
      const traffic::VersionComparison& seen = *service->rollout_;
      const auto outcomes = traffic::SumOfOutcomes(seen);
      rollout["target_attempts"] = seen.target_attempts_;
      rollout["target_judged"] = outcomes.target_.judged_;
      rollout["target_bad"] = outcomes.target_.bad_;
      rollout["present_attempts"] = seen.current_attempts_;
      rollout["present_judged"] = outcomes.current_.judged_;
      rollout["present_bad"] = outcomes.current_.bad_;
      if (service->version_share_) {
        rollout["target_share"] = service->version_share_->share_;
      }
      rollout["found_bad"] = seen.is_bad_;
    }
    rollouts.push_back(std::move(rollout));
  }
  return rollouts;
}

json UnusableObjects(const FleetState& fleet) {
  json objects = json::array();
  for (const traffic::UnusableObject& object : fleet.view_->unusable_) {
    objects.push_back({{"kind", object.kind_},
                       {"name", object.name_},
                       {"reason", object.reason_}});
  }
  return objects;
}

}  // namespace

json StatusJson(const FleetState& fleet,
                const std::string& service,
                Instant now) {
  const auto& configuration = fleet.view_->configuration_;
  json services = json::object();
  for (const auto& [name, state] : fleet.services_) {
    if (service.empty() || service == name) {
      services[name] = ServiceStatus(fleet, *state, now);
    }
  }
  return {
      {"daemon", fleet.name_},
      {"failure_domain", fleet.failure_domain_},
      {"configuration_version", configuration ? configuration->version_ : 0},
      {"daemons", fleet.view_->daemons_},
      {"evacuated", fleet.view_->evacuated_},
      {"rollouts", RolloutStatus(fleet)},
      {"unusable_objects", UnusableObjects(fleet)},
      {"services", std::move(services)}};
}

}  // namespace clementinerill::gateway
