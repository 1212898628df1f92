#ifndef CLEMENTINERILL_TRAFFIC_TRAFFIC_VIEW_H_
#define CLEMENTINERILL_TRAFFIC_TRAFFIC_VIEW_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "traffic/aggregation_plan.h"
#include "traffic/duty_status.h"
#include "traffic/replica_directory.h"
#include "traffic/replica_entry.h"
#include "traffic/rollout_order.h"
#include "traffic/traffic_configuration.h"

namespace clementinerill::traffic {

/// @brief An object of the store that is not used because of an error in it.
struct UnusableObject {
  std::string kind_;
  std::string name_;
  std::string reason_;
};

/// @brief Immutable snapshot of the control state for the traffic thread.
struct TrafficView {
  /// Null until the first configuration has been received.
  std::shared_ptr<const TrafficConfiguration> configuration_;
  std::vector<ReplicaEntry> replicas_;
  /// How long leaving replicas may be used if there is no other one.
  Duration leaving_grace_ = kLeavingGrace;
  /// Failure domains whose replicas receive no new requests.
  std::set<std::string> evacuated_;
  std::vector<RolloutOrder> rollouts_;
  /// Daemons that share the limits, by failure domain; empty when unknown.
  std::map<std::string, int> daemons_;
  /// The names of these daemons; null if unknown.
  std::shared_ptr<const std::vector<std::string>> daemon_names_;
  /// Since when this daemon is one of them; unset if it is not.
  std::optional<Instant> registered_since_;
  /// Registered daemons that gather queries for others; null if unknown.
  std::shared_ptr<const std::vector<Aggregator>> aggregators_;
  /// For the status page; a bounded number of them.
  std::vector<UnusableObject> unusable_;
  /// Unset if the settings name no duty.
  std::optional<DutyStatus> duty_;
};

/// @brief Returns the number of daemons. While it is unknown, assumes a high
/// number, because the resulting smaller share of each limit is safe.
[[nodiscard]] inline int CountDaemons(const TrafficView& view) noexcept {
  constexpr int kAssumedDaemons = 100;
  int count = 0;
  for (const auto& [domain, daemons] : view.daemons_) {
    count += daemons;
  }
  return count > 0 ? count : kAssumedDaemons;
}

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_TRAFFIC_VIEW_H_
