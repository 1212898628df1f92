#include "traffic/replica_eligibility.h"

#include "traffic/replica_directory.h"

namespace clementinerill::traffic {

ReplicaEligibility EligibilityOf(const TrafficView& view,
                                 const ReplicaState& replica,
                                 Instant now) {
  if (replica.misdirected_) {
    return ReplicaEligibility::kMisdirected;
  }
  if (view.evacuated_.count(replica.entry_.failure_domain_) > 0) {
    return ReplicaEligibility::kEvacuated;
  }
  const auto leaving = LeavingSince(replica);
  if (leaving && now - *leaving >= view.leaving_grace_) {
    return ReplicaEligibility::kGone;
  }
  if (IsEjected(replica, now)) {
    return ReplicaEligibility::kEjected;
  }
  if (leaving) {
    return ReplicaEligibility::kLeaving;
  }
  return IsOnProbation(replica) ? ReplicaEligibility::kOnProbation
                                : ReplicaEligibility::kUsable;
}

}  // namespace clementinerill::traffic
