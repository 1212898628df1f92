#include "traffic/connection_shares.h"

#include <algorithm>
#include <set>
#include <string>

#include "base/hash.h"
#include "traffic/limit_share.h"
#include "traffic/replica_eligibility.h"

namespace clementinerill::traffic {
namespace {

// Connections of this daemon to one replica if no limit is configured.
constexpr int kDefaultConnectionShare = 16;
// Shares of the connections of a replica for the daemons that prefer it and for
// the other daemons. They leave a reserve for connections that are closing
// while others open.
constexpr double kPreferredShare = 0.85;
constexpr double kOtherShare = 0.2;
// Share of the connections that is divided equally among all daemons, for those
// without a usable preferred replica.
constexpr double kEqualShare = 0.85;

// Counts daemons in failure domains in which the service has no replica.
int CountDaemonsWithoutReplica(const TrafficView& view,
                               const std::set<std::string>& domains) {
  int count = 0;
  for (const auto& [domain, daemons] : view.daemons_) {
    count += domains.count(domain) > 0 ? 0 : daemons;
  }
  return count;
}

// Returns the replica that a daemon without a local replica prefers.
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

// Whether aggregators hold most of the connections of the service. They send to
// the replicas of all failure domains, so their shares do not depend on it.
bool IsShared(const FleetState& fleet, const ServiceState& service) {
  return service.is_aggregated_ && fleet.aggregation_.aggregator_count_ > 0;
}

// Returns the share of this daemon in the connections of one replica; may be
// less than one.
double ConnectionShare(const FleetState& fleet,
                       const ServiceState& service,
                       const ReplicaState& replica) {
  const int max_connections = service.rule_.max_connections_;
  if (max_connections <= 0) {
    return kDefaultConnectionShare;
  }
  const double all = CountDaemons(*fleet.view_);
  if (fleet.view_->daemons_.empty()) {
    return kPreferredShare * max_connections / all;
  }
  if (IsShared(fleet, service)) {
    return LimitShare(fleet, service) * max_connections;
  }
  if (replica.is_preferred_) {
    return kPreferredShare * max_connections /
           std::max(replica.preferring_daemons_, 1.0);
  }
  return kOtherShare * max_connections /
         std::max(all - replica.preferring_daemons_, 1.0);
}

double EqualConnectionShare(const FleetState& fleet,
                            const ServiceState& service) {
  const double share = IsShared(fleet, service)
                           ? LimitShare(fleet, service)
                           : kEqualShare / CountDaemons(*fleet.view_);
  return share * service.rule_.max_connections_;
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
  const ReplicaState* remote_preferred =
      domains.count(fleet.failure_domain_) > 0
          ? nullptr
          : ChoosePreferredReplica(fleet, service);
  for (const auto& replica : service.replicas_) {
    const std::string& domain = replica->entry_.failure_domain_;
    const auto local = daemons.find(domain);
    replica->is_preferred_ =
        domain == fleet.failure_domain_ || replica.get() == remote_preferred;
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
  const double min_share =
      has_healthy_preferred ? 1.0 : EqualConnectionShare(fleet, service);
  return static_cast<int>(std::max({1.0, share, min_share}));
}

bool MayKeepIdle(const FleetState& fleet,
                 const ServiceState& service,
                 const ReplicaState& replica) {
  return ConnectionShare(fleet, service, replica) >= 1.0;
}

}  // namespace clementinerill::traffic
