#ifndef CLEMENTINERILL_TRAFFIC_COLD_LIMIT_H_
#define CLEMENTINERILL_TRAFFIC_COLD_LIMIT_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "traffic/fleet_state.h"

namespace clementinerill::traffic {

/// @brief How long this daemon has to be registered before it sends requests to
/// cold replicas. The other daemons divide the limit anew meanwhile.
inline constexpr Duration kRegistrationSettleTime = std::chrono::seconds(2);

/// @brief Returns how many of `limit` requests a second the daemon `self` may
/// send to a replica.
///
/// The requests go to the daemons one by one in the rendezvous order of the
/// replica, so that with more daemons than requests only the first ones get
/// any. The shares of all daemons add up to `limit`. They do not exceed it if
/// some daemons still count others that are gone: a shorter list never lowers a
/// share. Zero if `daemons` does not contain `self`.
[[nodiscard]] int ColdShare(int limit,
                            const std::string& self,
                            const std::string& replica,
                            const std::vector<std::string>& daemons);

/// @brief Returns the requests that this daemon may send to a cold replica of
/// the service in any second; unset if there is no limit.
///
/// Of shards that aggregators query, aggregators alone have shares.
[[nodiscard]] std::optional<int> ColdRequestLimit(const FleetState& fleet,
                                                  const ServiceState& service,
                                                  ReplicaState& replica,
                                                  Instant now);

/// @brief Returns the time from `now` until this daemon may send a request to
/// the replica; zero if it may now, `Duration::max()` if other daemons have all
/// shares.
[[nodiscard]] Duration TimeUntilColdSend(const FleetState& fleet,
                                         const ServiceState& service,
                                         ReplicaState& replica,
                                         Instant now);

/// @brief Records a request that is sent to the replica, cold or not: it may
/// turn out to have been cold.
void RecordColdSend(const ServiceState& service,
                    ReplicaState& replica,
                    Instant now);

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_COLD_LIMIT_H_
