#ifndef CLEMENTINERILL_TRAFFIC_LIMIT_SHARE_H_
#define CLEMENTINERILL_TRAFFIC_LIMIT_SHARE_H_

#include "traffic/fleet_state.h"

namespace clementinerill::traffic {

/// @brief Returns the share of this daemon, from 0 to 1, in a limit of a
/// service that holds for the sum of all daemons.
///
/// Aggregators divide most of the limits of shards among themselves. The other
/// daemons keep a part for queries that they gather themselves. The shares of
/// all daemons with the same view add up to 1 at most.
[[nodiscard]] double LimitShare(const FleetState& fleet,
                                const ServiceState& service) noexcept;

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_LIMIT_SHARE_H_
