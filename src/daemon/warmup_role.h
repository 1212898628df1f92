#ifndef CLEMENTINERILL_DAEMON_WARMUP_ROLE_H_
#define CLEMENTINERILL_DAEMON_WARMUP_ROLE_H_

#include <string>

#include "routing/pool_seats.h"
#include "routing/routing_table.h"
#include "warmup/seat_role.h"
#include "warmup/warmup_limits.h"

namespace clementinerill {

/// @brief Whether this daemon may use the warm-up seat of `replica` at `now`.
[[nodiscard]] SeatRole SeatRoleAt(const Pool& pool,
                                  const PoolSeats& seats,
                                  const std::string& replica,
                                  Instant now);

/// @brief The warm-up limits for the upstreams of `pool`. `seat_slots_` is
/// updated from the seats of this daemon at each dispatch.
[[nodiscard]] WarmupLimits WarmupLimitsOf(const RoutingTable& table,
                                          const RoutingPool& pool);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_WARMUP_ROLE_H_
