#ifndef CLEMENTINERILL_TRAFFIC_TRAFFIC_VIEW_H_
#define CLEMENTINERILL_TRAFFIC_TRAFFIC_VIEW_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "traffic/replica_entry.h"
#include "traffic/rollout_order.h"
#include "traffic/traffic_configuration.h"

namespace clementinerill::traffic {

/// @brief What the control thread knows, as one immutable value for traffic.
struct TrafficView {
  /// Null until the first configuration is known.
  std::shared_ptr<const TrafficConfiguration> configuration_;
  std::vector<ReplicaEntry> replicas_;
  /// Failure domains whose replicas get no new requests.
  std::set<std::string> evacuated_;
  std::vector<RolloutOrder> rollouts_;
  /// Daemons that share the limits, by failure domain; empty when unknown.
  std::map<std::string, int> daemons_;
};

/// @brief All daemons; a high number while they are unknown, because a smaller
/// share of a limit is the safe one.
[[nodiscard]] inline int CountDaemons(const TrafficView& view) noexcept {
  constexpr int kAssumed = 100;
  int count = 0;
  for (const auto& [domain, daemons] : view.daemons_) {
    count += daemons;
  }
  return count > 0 ? count : kAssumed;
}

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_TRAFFIC_VIEW_H_
