#ifndef CLEMENTINERILL_DAEMON_WARMUP_ROLE_H_
#define CLEMENTINERILL_DAEMON_WARMUP_ROLE_H_

#include <string>

#include "routing/routing_table.h"
#include "warmup/seat_role.h"
#include "warmup/warmup_limits.h"

namespace clementinerill {

/// @brief Whether this daemon holds the warm-up seat of `replica`.
[[nodiscard]] SeatRole SeatRoleAt(const RoutingPool& pool,
                                  const std::string& replica);

/// @brief The bounds for one target of `pool` at this daemon.
[[nodiscard]] WarmupLimits WarmupLimitsOf(const RoutingTable& table,
                                          const RoutingPool& pool,
                                          const RoutingTarget& target);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_WARMUP_ROLE_H_
