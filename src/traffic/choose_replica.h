#ifndef CLEMENTINERILL_TRAFFIC_CHOOSE_REPLICA_H_
#define CLEMENTINERILL_TRAFFIC_CHOOSE_REPLICA_H_

#include <memory>
#include <vector>

#include "base/time.h"
#include "traffic/fleet_state.h"

namespace clementinerill::traffic {

/// @brief Why no replica of a service was chosen for an attempt.
enum class NoReplicaReason {
  kNone,         ///< A replica was chosen.
  kUnavailable,  ///< No remaining replica may receive the request.
  /// Eligible replicas have no free connection or have reached their rate while
  /// cold; try again.
  kNoConnection,
};

/// @brief The replica for one attempt, or the reason why there is none.
struct ReplicaChoice {
  std::shared_ptr<ReplicaState> replica_;
  NoReplicaReason reason_ = NoReplicaReason::kUnavailable;
  Duration expected_latency_{};
  /// Probability that the attempt fails or is refused.
  double failure_probability_ = 0;
};

/// @brief Inputs of the replica choice besides the state of the replicas.
struct ReplicaCriteria {
  const RouteRule* route_ = nullptr;
  Duration median_latency_{};  ///< Median latency of the route.
  /// Replicas that earlier attempts of the part were sent to.
  std::vector<const ReplicaState*> tried_;
  /// During a rollout: whether to choose a replica of the target version.
  bool takes_target_version_ = false;
};

/// @brief Chooses the replica with the lowest expected cost.
///
/// The cost is the expected latency plus penalties for a stall, a probable
/// failure, a new connection and traffic between failure domains. A replica on
/// probation with a request in flight ranks after all others, a leaving one
/// last. Replicas in evacuated failure domains, ejected replicas and those that
/// were already tried are never chosen.
[[nodiscard]] ReplicaChoice ChooseReplica(FleetState& fleet,
                                          const ServiceState& service,
                                          const ReplicaCriteria& criteria,
                                          Instant now);

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_CHOOSE_REPLICA_H_
