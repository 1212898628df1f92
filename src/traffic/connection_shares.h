#ifndef CLEMENTINERILL_TRAFFIC_CONNECTION_SHARES_H_
#define CLEMENTINERILL_TRAFFIC_CONNECTION_SHARES_H_

#include "base/time.h"
#include "traffic/fleet_state.h"

namespace clementinerill::traffic {

/// @brief Decides which replicas of a service this daemon prefers and how many
/// daemons prefer each.
///
/// Daemons prefer the replicas of their own failure domain. Those of a domain
/// without a replica are spread over all replicas by their names, so that each
/// keeps connections to one of them. Every daemon that knows the same view
/// comes to the same numbers.
void AssignPreferredReplicas(const FleetState& fleet, ServiceState& service);

/// @brief Whether a replica that this daemon prefers is healthy.
[[nodiscard]] bool HasHealthyPreferredReplica(const FleetState& fleet,
                                              const ServiceState& service,
                                              Instant now);

/// @brief Connections that this daemon may hold to one replica.
///
/// Daemons that prefer a replica share most of its connections, because they
/// send it most of its requests. A daemon whose preferred replicas are lost
/// gets an equal share of the others, since it sends all requests there.
[[nodiscard]] int ConnectionLimit(const FleetState& fleet,
                                  const ServiceState& service,
                                  const ReplicaState& replica,
                                  bool has_healthy_preferred);

/// @brief Whether this daemon may keep an idle connection to the replica, so
/// that all daemons together stay within the connections of the replica.
[[nodiscard]] bool MayKeepIdle(const FleetState& fleet,
                               const ServiceState& service,
                               const ReplicaState& replica);

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_CONNECTION_SHARES_H_
