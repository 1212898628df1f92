#ifndef CLEMENTINERILL_TRAFFIC_SHARE_ESTIMATES_H_
#define CLEMENTINERILL_TRAFFIC_SHARE_ESTIMATES_H_

#include <vector>

#include "base/time.h"
#include "capacity/shared_estimate.h"
#include "traffic/fleet_state.h"

namespace clementinerill::traffic {

/// @brief Returns what this daemon has learned of replicas that differ from
/// others of their service.
[[nodiscard]] std::vector<capacity::SharedEstimate> ShareEstimates(
    const FleetState& fleet,
    Instant now);

/// @brief Applies what all daemons have learned of replicas.
void ApplySharedEstimates(
    FleetState& fleet,
    const std::vector<capacity::SharedEstimate>& estimates,
    Instant now);

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_SHARE_ESTIMATES_H_
