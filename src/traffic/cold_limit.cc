#include "traffic/cold_limit.h"

#include <algorithm>
#include <memory>

#include "base/rendezvous.h"

namespace clementinerill::traffic {
namespace {

using DaemonNames = std::shared_ptr<const std::vector<std::string>>;

// Length of the window in which requests to a cold replica are counted.
constexpr Duration kWindow = std::chrono::seconds(1);
// Share of the limit that daemons use. The rest is a reserve for daemons that
// have started and that others do not count yet.
constexpr double kUsableShare = 0.8;
// Upper bound of the limit, far above the rate of any replica, which keeps it
// in the range of its type.
constexpr double kMaxRequestsPerS = 1e6;

bool UsesAggregators(const FleetState& fleet, const ServiceState& service) {
  return service.is_aggregated_ && fleet.aggregation_.aggregators_;
}

// Requests that all daemons of `SendersTo` may send to a cold replica in a
// second.
int FleetLimit(const FleetState& fleet, const ServiceState& service) {
  const double total = std::min(
      service.rule_.cold_requests_per_s_ * fleet.limits_.cold_overage_ +
          fleet.limits_.cold_slack_,
      kMaxRequestsPerS);
  const int usable = std::max(static_cast<int>(total * kUsableShare),
                              std::min(static_cast<int>(total), 1));
  return UsesAggregators(fleet, service)
             ? usable / std::max(fleet.aggregation_.region_count_, 1)
             : usable;
}

// The daemons that send requests to the replicas of the service.
const DaemonNames& SendersTo(const FleetState& fleet,
                             const ServiceState& service) {
  return UsesAggregators(fleet, service) ? fleet.aggregation_.aggregators_
                                         : fleet.view_->daemon_names_;
}

bool IsSettled(const FleetState& fleet, Instant now) {
  const auto& since = fleet.view_->registered_since_;
  return since && now - *since >= kRegistrationSettleTime;
}

}  // namespace

int ColdShare(int limit,
              const std::string& self,
              const std::string& replica,
              const std::vector<std::string>& daemons) {
  const auto rank = RendezvousRank("cold:" + replica, self, daemons);
  if (!rank || static_cast<int>(*rank) >= limit) {
    return 0;
  }
  const int behind = limit - 1 - static_cast<int>(*rank);
  return 1 + behind / static_cast<int>(daemons.size());
}

std::optional<int> ColdRequestLimit(const FleetState& fleet,
                                    const ServiceState& service,
                                    ReplicaState& replica,
                                    Instant now) {
  if (service.rule_.cold_requests_per_s_ <= 0) {
    return std::nullopt;
  }
  const DaemonNames& senders = SendersTo(fleet, service);
  if (!senders || !IsSettled(fleet, now)) {
    return 0;
  }
  ColdShareCache& cache = replica.cold_share_;
  const int limit = FleetLimit(fleet, service);
  if (cache.senders_ != senders || cache.limit_ != limit) {
    cache = {senders, limit,
             ColdShare(limit, fleet.name_, replica.entry_.id_, *senders)};
  }
  return cache.share_;
}

Duration TimeUntilColdSend(const FleetState& fleet,
                           const ServiceState& service,
                           ReplicaState& replica,
                           Instant now) {
  if (!IsCold(replica, now)) {
    return Duration::zero();
  }
  const auto share = ColdRequestLimit(fleet, service, replica, now);
  if (!share) {
    return Duration::zero();
  }
  if (*share <= 0) {
    return Duration::max();
  }
  const auto& sends = replica.recent_sends_;
  if (sends.size() < static_cast<size_t>(*share)) {
    return Duration::zero();
  }
  const Instant first = sends[sends.size() - static_cast<size_t>(*share)];
  return std::max(Duration(first + kWindow - now), Duration::zero());
}

void RecordColdSend(const ServiceState& service,
                    ReplicaState& replica,
                    Instant now) {
  if (service.rule_.cold_requests_per_s_ <= 0) {
    return;
  }
  auto& sends = replica.recent_sends_;
  while (!sends.empty() && now - sends.front() >= kWindow) {
    sends.pop_front();
  }
  sends.push_back(now);
}

}  // namespace clementinerill::traffic
