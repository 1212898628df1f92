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
  if (IsEjected(replica, now)) {
    return ReplicaEligibility::kEjected;
  }
  if (const auto leaving = LeavingSince(replica)) {
    return now - *leaving >= view.leaving_grace_ ? ReplicaEligibility::kGone
                                                 : ReplicaEligibility::kLeaving;
  }
  return IsOnProbation(replica) ? ReplicaEligibility::kOnProbation
                                : ReplicaEligibility::kUsable;
}

}  // namespace clementinerill::traffic
