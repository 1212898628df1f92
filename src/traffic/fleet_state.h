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

#include "traffic/extra_attempt_budget.h"
#include "traffic/latency_estimate.h"
#include "traffic/replica_state.h"
#include "traffic/traffic_view.h"
#include "traffic/version_comparison.h"

namespace clementinerill::traffic {

/// @brief Latency that is assumed before a service has answered.
inline constexpr Duration kInitialLatency = std::chrono::milliseconds(15);

/// @brief One service as the traffic of this daemon sees it.
struct ServiceState {
  std::string name_;
  ServiceRule rule_;
  std::vector<std::shared_ptr<ReplicaState>> replicas_;
  ExtraAttemptBudget extra_attempt_budget_;
  LatencyEstimate latency_{kInitialLatency};
  bool is_routed_ = false;  ///< A route of the configuration leads here.
  /// The present rollout, while there is one.
  std::optional<VersionComparison> rollout_;
};

/// @brief What this daemon learned about one route.
struct RouteState {
  LatencyEstimate latency_{kInitialLatency};
  /// Requests owed to each destination, by service; for the weighted choice.
  std::map<std::string, double> owed_;
};

/// @brief Bounds that hold for the sum of all daemons. Source: the settings.
struct FleetLimits {
  ExtraAttemptLimit extra_attempts_;
  double cold_overage_ = 1.5;  ///< Factor on the rate of a cold replica.
  double cold_slack_ = 5;      ///< Requests a second beyond that.
};

/// @brief The mutable state of the traffic thread.
struct FleetState {
  std::string name_;            ///< Of this daemon.
  std::string failure_domain_;  ///< Where this daemon runs.
  FleetLimits limits_;
  std::shared_ptr<const TrafficView> view_;
  std::map<std::string, std::shared_ptr<ServiceState>, std::less<>> services_;
  std::map<std::string, RouteState, std::less<>> routes_;
  uint64_t turn_ = 0;  ///< Breaks ties between equal replicas.
};

/// @brief Takes a newer view; replicas that are the same process keep what was
/// learned about them.
void ApplyView(FleetState& fleet, std::shared_ptr<const TrafficView> view);

/// @brief The service, or null when no configuration or replica names it.
[[nodiscard]] std::shared_ptr<ServiceState> FindService(const FleetState& fleet,
                                                        std::string_view name);

/// @brief What is usual on a route; the initial latency before any answer.
[[nodiscard]] const LatencyEstimate& RouteLatency(const FleetState& fleet,
                                                  const RouteRule& route);

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_FLEET_STATE_H_
