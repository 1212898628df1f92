#include "traffic/replica_standing.h"

#include "traffic/replica_directory.h"

namespace clementinerill::traffic {

ReplicaStanding StandingOf(const TrafficView& view,
                           const ReplicaState& replica,
                           Instant now) {
  if (replica.misdirected_) {
    return ReplicaStanding::kMisdirected;
  }
  if (view.evacuated_.count(replica.entry_.failure_domain_) > 0) {
    return ReplicaStanding::kEvacuated;
  }
  if (IsAvoided(replica, now)) {
    return ReplicaStanding::kAvoided;
  }
  if (const auto& leaving = replica.entry_.leaving_since_) {
    return now - *leaving >= kLeavingGrace ? ReplicaStanding::kGone
                                           : ReplicaStanding::kLeaving;
  }
  return IsOnProbation(replica) ? ReplicaStanding::kOnProbation
                                : ReplicaStanding::kUsable;
}

}  // namespace clementinerill::traffic
