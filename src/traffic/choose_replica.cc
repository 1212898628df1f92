#include "traffic/choose_replica.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "base/hash.h"
#include "capacity/spread.h"
#include "traffic/cold_limit.h"
#include "traffic/connection_shares.h"
#include "traffic/expected_load.h"
#include "traffic/replica_eligibility.h"

namespace clementinerill::traffic {
namespace {

// Cost of an attempt in another failure domain, as a share of the latency
// objective: traffic between failure domains costs about a seventh of the value
// of a part.
constexpr double kCrossDomainShareOfObjective = 0.2;
// Cost of a new connection: a round trip, and a slot of the replica for 1 to
// 6 ms, as the services of the users state.
constexpr Duration kConnectCost = std::chrono::milliseconds(6);
// Cost of certain failure, as a multiple of the latency objective. A failed
// attempt needs a second one from a budget of a fifth of the requests, and
// without it the part is lost; twice the objective exceeds any wait that still
// meets the objective.
constexpr double kFailureShareOfObjective = 2.0;
// Latency of a cold replica relative to a warm one.
constexpr double kColdSlowdown = 1.6;
// Cost of a stall, as a multiple of its duration so far: a stall is expected to
// last about as long again.
constexpr double kStallCostFactor = 2.0;
// A replica that has sent no response for this multiple of the 90th percentile
// of the service is assumed to be paused.
constexpr double kStallFactor = 1.5;
// Minimum time without a response that counts as a stall.
constexpr Duration kMinStall = std::chrono::milliseconds(8);
// Random part of the cost of a replica whose capacity is learned, as a share of
// its expected latency. Daemons that know the same would otherwise all choose
// the same replica until the next reports. In the load model, 0.15 gave fewer
// late requests than 0 with 6 and with 60 daemons.
constexpr double kSpreadShare = 0.15;
// Upper bound of the estimated service time of a queued request, as a multiple
// of that of the waiting request: the median latency of a service includes
// queueing.
constexpr double kMaxQueuedWorkFactor = 3.0;

enum class Tier { kNormal, kOnProbation, kLeaving };

struct Candidate {
  Tier tier_ = Tier::kNormal;
  /// Expected latency without the rest of a stall, which a hedge covers.
  double latency_ms_ = 0;
  double cost_ms_ = 0;  ///< The expected latency plus all penalties.
};

// Cost of waiting for a replica that has stopped responding.
double StallCost(const ServiceState& service,
                 const ReplicaState& replica,
                 Instant now) {
  const Duration stalled = StallDuration(replica, now);
  const Duration limit =
      std::max(kMinStall, Scale(service.latency_.P90(), kStallFactor));
  return stalled > limit ? kStallCostFactor * ToFractionalMilliseconds(stalled)
                         : 0.0;
}

bool MayUse(const FleetState& fleet,
            const ReplicaState& replica,
            const ReplicaCriteria& criteria,
            Instant now) {
  return MayReceiveRequests(EligibilityOf(*fleet.view_, replica, now)) &&
         std::find(criteria.tried_.begin(), criteria.tried_.end(), &replica) ==
             criteria.tried_.end();
}

// During a rollout, only replicas of the version that the criteria ask for are
// considered, so that the target version gets no more than its share.
bool MatchesVersion(const ServiceState& service,
                    const ReplicaState& replica,
                    const ReplicaCriteria& criteria) {
  if (!service.rollout_) {
    return true;
  }
  return IsTargetVersion(service, replica) == criteria.takes_target_version_;
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

// Expected wait for a slot of the replica. Queued requests are of any route of
// the service, so their service time is estimated from its median latency.
double QueueingDelayMs(const ServiceState& service,
                       const ExpectedLoad& load,
                       double work_ms) {
  const double waiting = load.busy_ + 1 - load.slots_;
  const double queued_ms =
      std::clamp(ToFractionalMilliseconds(service.latency_.Median()), work_ms,
                 work_ms * kMaxQueuedWorkFactor);
  return std::max(0.0, waiting) / load.slots_ * queued_ms;
}

Candidate ScoreReplica(const FleetState& fleet,
                       const ServiceState& service,
                       const ReplicaState& replica,
                       const ReplicaCriteria& criteria,
                       Instant now) {
  Candidate candidate;
  if (LeavingSince(replica)) {
    candidate.tier_ = Tier::kLeaving;
  } else if (IsOnProbation(replica) && !replica.outstanding_.empty()) {
    candidate.tier_ = Tier::kOnProbation;
  }
  const ExpectedLoad load = ExpectLoad(replica, now);
  const double work = ToFractionalMilliseconds(criteria.median_latency_) *
                      load.slowness_ *
                      (IsCold(replica, now) ? kColdSlowdown : 1.0);
  const double objective =
      ToFractionalMilliseconds(criteria.route_->objective_);
  candidate.latency_ms_ =
      work * load.growth_ + QueueingDelayMs(service, load, work);
  candidate.cost_ms_ = candidate.latency_ms_ + StallCost(service, replica, now);
  if (replica.entry_.failure_domain_ != fleet.failure_domain_) {
    candidate.cost_ms_ += kCrossDomainShareOfObjective * objective;
  }
  if (replica.idle_connections_ == 0) {
    candidate.cost_ms_ += ToFractionalMilliseconds(kConnectCost);
  }
  candidate.cost_ms_ +=
      FailureShare(replica, now) * kFailureShareOfObjective * objective;
  return candidate;
}

// Varies the cost of a replica by request and by daemon.
double SpreadCost(const FleetState& fleet,
                  const ReplicaState& replica,
                  const Candidate& candidate,
                  size_t position,
                  Instant now) {
  if (!capacity::IsLearned(replica.estimate_, now)) {
    return 0;
  }
  return kSpreadShare * candidate.latency_ms_ *
         capacity::SpreadFraction(Hash64(fleet.name_), fleet.rotation_,
                                  position);
}

// Permits at the eligible replicas of a service.
struct RatePermits {
  bool has_unlimited_replica_ = false;
  double available_ = 0;
  double max_ = 0;
  Duration wait_ = Duration::max();

  [[nodiscard]] double Headroom() const {
    return has_unlimited_replica_ || max_ <= 0 ? 1.0 : available_ / max_;
  }
};

void CountPermits(const ReplicaState& replica,
                  Instant now,
                  RatePermits& permits) {
  if (!replica.rate_limit_) {
    permits.has_unlimited_replica_ = true;
    return;
  }
  const RateAllowance& allowance = replica.rate_allowance_;
  permits.available_ += AvailablePermits(allowance, now);
  permits.max_ += std::max(1.0, MaxPermits(allowance));
  permits.wait_ = std::min(permits.wait_, TimeUntilPermit(allowance, now));
}

bool IsBetter(const Candidate& a, const Candidate& b) {
  return a.tier_ != b.tier_ ? a.tier_ < b.tier_ : a.cost_ms_ < b.cost_ms_;
}

}  // namespace

ReplicaChoice ChooseReplica(FleetState& fleet,
                            const ServiceState& service,
                            const ReplicaCriteria& criteria,
                            Instant now) {
  const size_t count = service.replicas_.size();
  const size_t first = count == 0 ? 0 : fleet.rotation_++ % count;
  ReplicaChoice choice;
  std::optional<Candidate> best;
  RatePermits permits;
  // Starts at a different replica each time to spread requests over equal ones.
  for (size_t i = 0; i < count; ++i) {
    const auto& replica = service.replicas_[(first + i) % count];
    if (!MayUse(fleet, *replica, criteria, now) ||
        !MatchesVersion(service, *replica, criteria)) {
      continue;
    }
    if (!HasConnection(fleet, service, *replica, now)) {
      if (!choice.replica_) {
        choice.reason_ = NoReplicaReason::kNoConnection;
      }
      continue;
    }
    const Duration wait =
        std::max(TimeUntilColdSend(fleet, service, *replica, now),
                 Duration(replica->paused_until_ - now));
    if (wait > Duration::zero()) {
      permits.wait_ = std::min(permits.wait_, wait);
    } else {
      CountPermits(*replica, now, permits);
    }
    if (wait > Duration::zero() || !HasPermit(*replica, now)) {
      if (choice.reason_ == NoReplicaReason::kUnavailable) {
        choice.reason_ = NoReplicaReason::kRateLimited;
      }
      continue;
    }
    Candidate candidate = ScoreReplica(fleet, service, *replica, criteria, now);
    candidate.cost_ms_ += SpreadCost(fleet, *replica, candidate, i, now);
    if (!best || IsBetter(candidate, *best)) {
      best = candidate;
      choice.replica_ = replica;
      choice.reason_ = NoReplicaReason::kNone;
    }
  }
  if (best) {
    choice.failure_probability_ = FailureShare(*choice.replica_, now);
    choice.expected_latency_ = FromMilliseconds(best->latency_ms_);
  }
  choice.rate_headroom_ = permits.Headroom();
  choice.permit_wait_ = permits.wait_;
  return choice;
}

}  // namespace clementinerill::traffic
