#ifndef CLEMENTINERILL_TRAFFIC_CONNECTION_SHARES_H_
#define CLEMENTINERILL_TRAFFIC_CONNECTION_SHARES_H_

#include "base/time.h"
#include "traffic/fleet_state.h"

namespace clementinerill::traffic {

/// @brief Determines which replicas of a service this daemon prefers and how
/// many daemons prefer each replica.
///
/// Daemons prefer the replicas of their own failure domain. A daemon in a
/// domain without a replica prefers one replica that it selects by rendezvous
/// hashing of its name, so that it keeps connections to one replica only.
/// Daemons with the same view compute the same numbers.
void AssignPreferredReplicas(const FleetState& fleet, ServiceState& service);

/// @brief Whether any replica that this daemon prefers is usable.
[[nodiscard]] bool HasHealthyPreferredReplica(const FleetState& fleet,
                                              const ServiceState& service,
                                              Instant now);

/// @brief Returns the number of connections that this daemon may have open to
/// one replica.
///
/// Daemons that prefer a replica share most of its connections, because they
/// send it most of its requests. A daemon without a usable preferred replica
/// gets an equal share at the others, because it sends all its requests there.
[[nodiscard]] int ConnectionLimit(const FleetState& fleet,
                                  const ServiceState& service,
                                  const ReplicaState& replica,
                                  bool has_healthy_preferred);

/// @brief Whether this daemon may keep an idle connection to the replica.
///
/// Only daemons whose share is at least one connection may, so that all daemons
/// together stay within the connection limit of the replica.
[[nodiscard]] bool MayKeepIdle(const FleetState& fleet,
                               const ServiceState& service,
                               const ReplicaState& replica);

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_CONNECTION_SHARES_H_
