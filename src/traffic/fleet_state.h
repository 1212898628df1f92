#ifndef CLEMENTINERILL_TRAFFIC_FLEET_STATE_H_
#define CLEMENTINERILL_TRAFFIC_FLEET_STATE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "organisations/view_proof.h"
#include "traffic/aggregation_plan.h"
#include "traffic/departures.h"
#include "traffic/extra_attempt_budget.h"
#include "traffic/latency_estimate.h"
#include "traffic/replica_state.h"
#include "traffic/traffic_view.h"
#include "traffic/version_comparison.h"

namespace clementinerill::traffic {

/// @brief Latency that is assumed before the first response of a service.
inline constexpr Duration kInitialLatency = std::chrono::milliseconds(15);

/// @brief The share of requests of a service for the target version of a
/// rollout, as computed from the evidence of all daemons.
struct VersionShare {
  std::string service_;
  std::string target_version_;
  double share_ = 0;    ///< From 0 to 1, except in the load trial.
  Instant computed_{};  ///< Not valid for long after this.
  /// Usual latencies of the current version, by route. A daemon alone sees too
  /// few responses of a quiet service to know them.
  std::map<std::string, Duration, std::less<>> usual_latencies_ = {};
  int64_t trial_requests_ = 0;  ///< Of this daemon in the load trial.
};

/// @brief State of one service in the traffic thread of this daemon.
struct ServiceState {
  std::string name_;
  ServiceRule rule_;
  std::vector<std::shared_ptr<ReplicaState>> replicas_;
  ExtraAttemptBudget extra_attempt_budget_;
  LatencyEstimate latency_{kInitialLatency};
  bool is_routed_ = false;      ///< Destination or shard of a configured route.
  bool is_aggregated_ = false;  ///< Shard of a route that is forwarded.
  /// The current rollout with the evidence of this daemon, if there is one.
  std::optional<VersionComparison> rollout_;
  /// Share of requests for its target version; none before the first one.
  std::optional<VersionShare> version_share_;
};

/// @brief State of one route in the traffic thread of this daemon.
struct RouteState {
  LatencyEstimate latency_{kInitialLatency};
  /// Current weights of the smooth weighted round robin, by service.
  std::map<std::string, double> current_weights_;
};

/// @brief Limits on the sum over all daemons. Read from the settings.
struct FleetLimits {
  ExtraAttemptLimit extra_attempts_;
  double cold_overage_ = 1.5;  ///< Factor on the rate of a cold replica.
  double cold_slack_ = 5;      ///< Requests per second added to the product.
  /// Maximum age of the proof of the configuration with which requests that
  /// need a key may run; unset if no proof is required.
  std::optional<Duration> max_view_age_;
  /// Whether to learn the capacity of replicas that report their pace.
  bool learns_capacity_ = true;
};

/// @brief Mutable state of services and routes; owned by the traffic thread.
struct FleetState {
  std::string name_;            ///< Name of this daemon.
  std::string failure_domain_;  ///< Failure domain of this daemon.
  std::string region_;          ///< Region of this daemon.
  FleetLimits limits_;
  std::shared_ptr<const TrafficView> view_;
  organisations::ViewProof view_proof_;  ///< Of the configuration of `view_`.
  std::map<std::string, std::shared_ptr<ServiceState>, std::less<>> services_;
  std::map<std::string, RouteState, std::less<>> routes_;
  Departures departures_;               ///< Reported in responses.
  AggregationInput aggregation_input_;  ///< Of `aggregation_`.
  AggregationPlan aggregation_;
  uint64_t rotation_ = 0;  ///< Rotates the choice among equal replicas.
};

/// @brief Applies a newer view. Replicas that are still the same process keep
/// their state.
void ApplyView(FleetState& fleet, std::shared_ptr<const TrafficView> view);

/// @brief Applies newer shares of target versions.
void ApplyVersionShares(FleetState& fleet,
                        const std::vector<VersionShare>& shares);

/// @brief Whether the replica has the target version of a rollout of `service`.
[[nodiscard]] bool IsTargetVersion(const ServiceState& service,
                                   const ReplicaState& replica) noexcept;

/// @brief Returns the evidence of this daemon on the rollouts in progress.
[[nodiscard]] std::vector<VersionComparison> RolloutEvidence(
    const FleetState& fleet);

/// @brief Returns the service, or null if no configuration or replica names it.
[[nodiscard]] std::shared_ptr<ServiceState> FindService(const FleetState& fleet,
                                                        std::string_view name);

/// @brief Returns the latency estimate of a route; the initial latency before
/// the first response.
[[nodiscard]] const LatencyEstimate& RouteLatency(const FleetState& fleet,
                                                  const RouteRule& route);

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_FLEET_STATE_H_
