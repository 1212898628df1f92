#include "traffic/connection_shares.h"

#include <algorithm>
#include <set>
#include <string>

#include "base/hash.h"
#include "traffic/replica_eligibility.h"

namespace clementinerill::traffic {
namespace {

// Connections to one replica when the configuration states no limit.
constexpr int kConnectionsWithoutLimit = 16;
// Parts of the connections of a replica for the daemons that prefer it and for
// the others; the rest is for connections that are closing while others open.
constexpr double kPreferredConnections = 0.85;
constexpr double kOtherConnections = 0.2;
// Part of the connections that is shared equally by daemons whose preferred
// replicas are lost.
constexpr double kEqualConnections = 0.85;

// Daemons of failure domains in which the service has no replica.
int CountDaemonsWithoutReplica(const TrafficView& view,
                               const std::set<std::string>& domains) {
  int count = 0;
  for (const auto& [domain, daemons] : view.daemons_) {
    count += domains.count(domain) > 0 ? 0 : daemons;
  }
  return count;
}

// The replica that a daemon without a local one prefers.
const ReplicaState* ChoosePreferredReplica(const FleetState& fleet,
                                           const ServiceState& service) {
  const auto rank = [&fleet](const std::shared_ptr<ReplicaState>& replica) {
    return Hash64(fleet.name_ + replica->entry_.id_);
  };
  const auto best = std::max_element(
      service.replicas_.begin(), service.replicas_.end(),
      [&rank](const auto& a, const auto& b) { return rank(a) < rank(b); });
  return best == service.replicas_.end() ? nullptr : best->get();
}

// The connections to one replica that fall to this daemon; may be below one.
double ConnectionShare(const FleetState& fleet,
                       const ServiceState& service,
                       const ReplicaState& replica) {
  const int most = service.rule_.max_connections_;
  if (most <= 0) {
    return kConnectionsWithoutLimit;
  }
  const double all = CountDaemons(*fleet.view_);
  if (fleet.view_->daemons_.empty()) {
    return kPreferredConnections * most / all;
  }
  if (replica.is_preferred_) {
    return kPreferredConnections * most /
           std::max(replica.preferring_daemons_, 1.0);
  }
  return kOtherConnections * most /
         std::max(all - replica.preferring_daemons_, 1.0);
}

double EqualConnectionShare(const FleetState& fleet,
                            const ServiceState& service) {
  return kEqualConnections * service.rule_.max_connections_ /
         CountDaemons(*fleet.view_);
}

}  // namespace

void AssignPreferredReplicas(const FleetState& fleet, ServiceState& service) {
  std::set<std::string> domains;
  for (const auto& replica : service.replicas_) {
    domains.insert(replica->entry_.failure_domain_);
  }
  const auto& daemons = fleet.view_->daemons_;
  const double without_replica =
      CountDaemonsWithoutReplica(*fleet.view_, domains);
  const ReplicaState* elsewhere = domains.count(fleet.failure_domain_) > 0
                                      ? nullptr
                                      : ChoosePreferredReplica(fleet, service);
  for (const auto& replica : service.replicas_) {
    const std::string& domain = replica->entry_.failure_domain_;
    const auto local = daemons.find(domain);
    replica->is_preferred_ =
        domain == fleet.failure_domain_ || replica.get() == elsewhere;
    replica->preferring_daemons_ =
        (local == daemons.end() ? 0 : local->second) +
        without_replica / static_cast<double>(service.replicas_.size());
  }
}

bool HasHealthyPreferredReplica(const FleetState& fleet,
                                const ServiceState& service,
                                Instant now) {
  return std::any_of(
      service.replicas_.begin(), service.replicas_.end(),
      [&fleet, now](const std::shared_ptr<ReplicaState>& replica) {
        return replica->is_preferred_ &&
               EligibilityOf(*fleet.view_, *replica, now) ==
                   ReplicaEligibility::kUsable;
      });
}

int ConnectionLimit(const FleetState& fleet,
                    const ServiceState& service,
                    const ReplicaState& replica,
                    bool has_healthy_preferred) {
  const double share = ConnectionShare(fleet, service, replica);
  const double least =
      has_healthy_preferred ? 1.0 : EqualConnectionShare(fleet, service);
  return static_cast<int>(std::max({1.0, share, least}));
}

bool MayKeepIdle(const FleetState& fleet,
                 const ServiceState& service,
                 const ReplicaState& replica) {
  return ConnectionShare(fleet, service, replica) >= 1.0;
}

}  // namespace clementinerill::traffic
