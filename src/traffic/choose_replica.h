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
  /// Eligible replicas have no free connection; try again.
  kNoConnection,
  /// All eligible replicas have reached the rate that they accept, which is
  /// lower while they are cold, or take no requests for a time; another request
  /// may be sent after `ReplicaChoice::permit_wait_`.
  kRateLimited,
};

/// @brief The replica for one attempt, or the reason why there is none.
struct ReplicaChoice {
  std::shared_ptr<ReplicaState> replica_;
  NoReplicaReason reason_ = NoReplicaReason::kUnavailable;
  Duration expected_latency_{};
  /// Probability that the attempt fails or is refused.
  double failure_probability_ = 0;
  /// Permits of this daemon that are left at the eligible replicas, as a share
  /// of the most that there can be; 1 if one of them has no rate limit.
  double rate_headroom_ = 1;
  Duration permit_wait_{};  ///< If rate limited.
};

/// @brief Below this `rate_headroom_`, the replicas of a service get more
/// requests than they accept: with fewer, most permits are unused.
inline constexpr double kScarceRateHeadroom = 0.3;

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
/// last. Replicas in evacuated failure domains, ejected replicas, those that
/// have reached the rate that they accept, also while cold, and those that were
/// already tried are never chosen.
[[nodiscard]] ReplicaChoice ChooseReplica(FleetState& fleet,
                                          const ServiceState& service,
                                          const ReplicaCriteria& criteria,
                                          Instant now);

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_CHOOSE_REPLICA_H_
