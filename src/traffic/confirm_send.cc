#include "traffic/confirm_send.h"

#include <algorithm>

#include "traffic/cold_limit.h"
#include "traffic/replica_eligibility.h"

namespace clementinerill::traffic {
namespace {

// Ejection does not count: the attempt may be the one that probes the replica.
bool MayReach(const TrafficView& view,
              const ReplicaState& replica,
              Instant now) {
  switch (EligibilityOf(view, replica, now)) {
    case ReplicaEligibility::kGone:
    case ReplicaEligibility::kEvacuated:
    case ReplicaEligibility::kMisdirected:
      return false;
    case ReplicaEligibility::kUsable:
    case ReplicaEligibility::kOnProbation:
    case ReplicaEligibility::kLeaving:
    case ReplicaEligibility::kEjected:
      break;
  }
  return replica.paused_until_ <= now;
}

bool RenewPermit(ReplicaState& replica, Instant sent, Instant now) {
  if (!replica.rate_limit_ || now - sent < kPermitLifetime) {
    return true;
  }
  if (!HasPermit(replica, now)) {
    return false;
  }
  UsePermit(replica.rate_allowance_, now);
  return true;
}

// Moves a send to `now` if the limit of a cold replica allows it.
bool RenewColdSend(const FleetState& fleet,
                   const ServiceState& service,
                   ReplicaState& replica,
                   Instant sent,
                   Instant now) {
  RemoveColdSend(replica, sent);
  if (TimeUntilColdSend(fleet, service, replica, now) > Duration::zero()) {
    auto& sends = replica.recent_sends_;
    sends.insert(std::upper_bound(sends.begin(), sends.end(), sent), sent);
    return false;
  }
  RecordColdSend(service, replica, now);
  return true;
}

}  // namespace

bool ConfirmSend(const FleetState& fleet,
                 const Query& query,
                 SendAction action,
                 Instant now) {
  const QueryPart& part = query.parts_[action.part_];
  const Attempt& attempt = part.attempts_[action.attempt_];
  ReplicaState& replica = *attempt.replica_;
  return query.outcome_ == QueryOutcome::kOpen && now < query.deadline_ &&
         !query.access_refusal_ && MayReach(*fleet.view_, replica, now) &&
         RenewPermit(replica, attempt.sent_, now) &&
         RenewColdSend(fleet, *part.service_, replica, attempt.sent_, now);
}

}  // namespace clementinerill::traffic
