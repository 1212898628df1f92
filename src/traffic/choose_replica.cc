#include "traffic/choose_replica.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "traffic/connection_shares.h"
#include "traffic/replica_eligibility.h"

namespace clementinerill::traffic {
namespace {

// A part that crosses failure domains costs as much as this share of the
// latency objective: bytes between failure domains are priced at about a
// seventh of what a part earns.
constexpr double kCrossingShareOfObjective = 0.2;
// A new connection takes a round trip, and a slot of the replica for as long as
// the users' services state, 1 to 6 ms.
constexpr Duration kConnectCost = std::chrono::milliseconds(6);
// A failed attempt costs a second one from a budget of a fifth of the requests;
// without it the part is lost. Certain failure costs twice the objective, more
// than any wait that still meets it.
constexpr double kFailureShareOfObjective = 2.0;
// Work of a cold replica relative to its usual work.
constexpr double kColdSlowdown = 1.6;
// A stall lasts about as long again as it has lasted so far.
constexpr double kStallCost = 2.0;
// A replica without an answer for this multiple of the 90th percentile of the
// service is taken to be pausing.
constexpr double kStallFactor = 1.5;
// Shortest time without an answer that counts as a stall.
constexpr Duration kLeastStall = std::chrono::milliseconds(8);
// Slowdown of a replica per busy slot, relative to its usual latency: some
// replicas slow down when they are nearly full.
constexpr double kSlowdownWhenBusy = 0.3;
// A queued request takes at most this multiple of the work of the request that
// waits: the latency of a service contains its queue.
constexpr double kMostQueuedWork = 3.0;
// Part of the rate of a cold replica that daemons use, since the bound covers
// any second and arrivals bunch on the way.
constexpr double kColdRateInUse = 0.6;

enum class Tier { kNormal, kOnProbation, kLeaving };

struct Candidate {
  Tier tier_ = Tier::kNormal;
  /// Expected latency, without a stall: a second attempt covers that.
  double latency_ms_ = 0;
  double cost_ms_ = 0;  ///< The same and what the choice costs besides.
};

// What waiting for a replica that has stopped answering costs.
double StallCost(const ServiceState& service,
                 const ReplicaState& replica,
                 Instant now) {
  const Duration stalled = StalledFor(replica, now);
  const Duration limit =
      std::max(kLeastStall, Scale(service.latency_.P90(), kStallFactor));
  return stalled > limit ? kStallCost * ToFractionalMilliseconds(stalled) : 0.0;
}

bool MayUse(const FleetState& fleet,
            const ReplicaState& replica,
            const ReplicaRequest& request,
            Instant now) {
  return MayGetRequests(EligibilityOf(*fleet.view_, replica, now)) &&
         std::find(request.tried_.begin(), request.tried_.end(), &replica) ==
             request.tried_.end();
}

// Replicas of the target version take the share of the rollout and no more.
bool HasVersion(const ServiceState& service,
                const ReplicaState& replica,
                const ReplicaRequest& request) {
  if (!service.rollout_) {
    return true;
  }
  const RolloutOrder& order = service.rollout_->order_;
  const bool is_target = replica.entry_.version_ == order.target_version_;
  return is_target == request.takes_target_version_;
}

// Whether a cold replica may take one more request of this daemon now.
bool HasColdRoom(const FleetState& fleet,
                 const ServiceState& service,
                 const ReplicaState& replica,
                 Instant now) {
  const double rate = service.rule_.cold_requests_per_s_;
  if (!IsCold(replica, now) || rate <= 0) {
    return true;
  }
  const FleetLimits& limits = fleet.limits_;
  const double total =
      (rate * limits.cold_overage_ + limits.cold_slack_) * kColdRateInUse;
  const int share =
      std::max(1, static_cast<int>(total / CountDaemons(*fleet.view_)));
  const auto recent = std::count_if(
      replica.cold_sends_.begin(), replica.cold_sends_.end(),
      [now](Instant sent) { return now - sent < std::chrono::seconds(1); });
  return recent < share;
}

bool HasConnection(const FleetState& fleet,
                   const ServiceState& service,
                   const ReplicaState& replica,
                   Instant now) {
  return replica.idle_connections_ > 0 ||
         replica.open_connections_ <
             ConnectionLimit(fleet, service, replica,
                             HasHealthyPreferredReplica(fleet, service, now));
}

// How long a request waits for a slot of the replica. The queue holds requests
// of all routes of the service.
double WaitMs(const ServiceState& service,
              const ReplicaState& replica,
              double work_ms,
              Instant now) {
  const double slots = std::max(replica.entry_.slots_, 1);
  const double waiting = EstimatedBusy(replica, now) + 1 - slots;
  const double queued_ms =
      std::clamp(ToFractionalMilliseconds(service.latency_.Median()), work_ms,
                 work_ms * kMostQueuedWork);
  return std::max(0.0, waiting) / slots * queued_ms;
}

Candidate Rate(const FleetState& fleet,
               const ServiceState& service,
               const ReplicaState& replica,
               const ReplicaRequest& request,
               Instant now) {
  Candidate candidate;
  if (replica.entry_.leaving_since_) {
    candidate.tier_ = Tier::kLeaving;
  } else if (IsOnProbation(replica) && !replica.outstanding_.empty()) {
    candidate.tier_ = Tier::kOnProbation;
  }
  const double work = ToFractionalMilliseconds(request.usual_) *
                      Slowness(replica, now) *
                      (IsCold(replica, now) ? kColdSlowdown : 1.0);
  const double objective = ToFractionalMilliseconds(request.route_->objective_);
  const double busy = EstimatedBusy(replica, now);
  const double slots = std::max(replica.entry_.slots_, 1);
  candidate.latency_ms_ = work * (1 + kSlowdownWhenBusy * busy / slots) +
                          WaitMs(service, replica, work, now);
  candidate.cost_ms_ = candidate.latency_ms_ + StallCost(service, replica, now);
  if (replica.entry_.failure_domain_ != fleet.failure_domain_) {
    candidate.cost_ms_ += kCrossingShareOfObjective * objective;
  }
  if (replica.idle_connections_ == 0) {
    candidate.cost_ms_ += ToFractionalMilliseconds(kConnectCost);
  }
  candidate.cost_ms_ +=
      FailureShare(replica, now) * kFailureShareOfObjective * objective;
  return candidate;
}

bool IsBetter(const Candidate& a, const Candidate& b) {
  return a.tier_ != b.tier_ ? a.tier_ < b.tier_ : a.cost_ms_ < b.cost_ms_;
}

}  // namespace

ReplicaChoice ChooseReplica(FleetState& fleet,
                            const ServiceState& service,
                            const ReplicaRequest& request,
                            Instant now) {
  const size_t count = service.replicas_.size();
  const size_t first = count == 0 ? 0 : fleet.turn_++ % count;
  ReplicaChoice choice;
  std::optional<Candidate> best;
  // Starting at another replica each time spreads requests over equal ones.
  for (size_t i = 0; i < count; ++i) {
    const auto& replica = service.replicas_[(first + i) % count];
    if (!MayUse(fleet, *replica, request, now) ||
        !HasVersion(service, *replica, request)) {
      continue;
    }
    if (!HasConnection(fleet, service, *replica, now) ||
        !HasColdRoom(fleet, service, *replica, now)) {
      if (!choice.replica_) {
        choice.reason_ = NoReplicaReason::kNoConnection;
      }
      continue;
    }
    const Candidate candidate = Rate(fleet, service, *replica, request, now);
    if (!best || IsBetter(candidate, *best)) {
      best = candidate;
      choice.replica_ = replica;
      choice.reason_ = NoReplicaReason::kNone;
    }
  }
  if (best) {
    choice.failure_chance_ = FailureShare(*choice.replica_, now);
    choice.expected_ = FromMilliseconds(best->latency_ms_);
  }
  return choice;
}

}  // namespace clementinerill::traffic
