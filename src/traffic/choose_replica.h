#ifndef CLEMENTINERILL_TRAFFIC_CHOOSE_REPLICA_H_
#define CLEMENTINERILL_TRAFFIC_CHOOSE_REPLICA_H_

#include <memory>
#include <vector>

#include "base/time.h"
#include "traffic/fleet_state.h"

namespace clementinerill::traffic {

/// @brief Why a service offers no replica for an attempt.
enum class NoReplicaReason {
  kNone,          ///< A replica was chosen.
  kUnavailable,   ///< None is left that may take the request.
  kNoConnection,  ///< Usable replicas have no free connection; try again.
};

/// @brief The replica for one attempt, or why there is none.
struct ReplicaChoice {
  std::shared_ptr<ReplicaState> replica_;
  NoReplicaReason reason_ = NoReplicaReason::kUnavailable;
  Duration expected_{};        ///< Expected latency of the attempt.
  double failure_chance_ = 0;  ///< That the attempt fails or is refused.
};

/// @brief What the choice depends on besides the replicas.
struct ReplicaRequest {
  const RouteRule* route_ = nullptr;
  Duration usual_{};  ///< Median latency of the route.
  /// Replicas that this request was sent to before.
  std::vector<const ReplicaState*> tried_;
  /// During a rollout: whether the target version takes the request.
  bool takes_target_version_ = false;
};

/// @brief Chooses the replica with the lowest expected cost.
///
/// The cost is the expected latency plus what a failure or a crossing between
/// failure domains costs. A replica on probation that has a request already
/// comes after all others, a leaving one last. Replicas in evacuated failure
/// domains, avoided ones and those tried before are never chosen.
[[nodiscard]] ReplicaChoice ChooseReplica(FleetState& fleet,
                                          const ServiceState& service,
                                          const ReplicaRequest& request,
                                          Instant now);

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_CHOOSE_REPLICA_H_
