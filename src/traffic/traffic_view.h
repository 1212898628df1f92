#ifndef CLEMENTINERILL_TRAFFIC_TRAFFIC_VIEW_H_
#define CLEMENTINERILL_TRAFFIC_TRAFFIC_VIEW_H_

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
  int daemons_ = 1;  ///< Daemons that share the limits, itself included.
};

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_TRAFFIC_VIEW_H_
