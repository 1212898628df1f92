#ifndef CLEMENTINERILL_ROUTING_POOL_SEATS_H_
#define CLEMENTINERILL_ROUTING_POOL_SEATS_H_

#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "config/pool.h"
#include "routing/usable_seat.h"

namespace clementinerill {

/// @brief The seats of one pool as this daemon sees them.
struct PoolSeats {
  std::vector<UsableSeat> own_;
  /// Holder of each seat by its index, this daemon included; empty when the
  /// holder is unknown.
  std::vector<std::string> holders_;
};

/// @brief The seats of all pools, published by the control thread.
struct PublishedSeats {
  std::map<std::string, PoolSeats> pools_;
  bool has_majority_ = false;
  Instant lease_until_;  ///< Latest end of the majority lease.
};

/// @brief Whether a new query may run here.
[[nodiscard]] bool AcceptsNewQueries(const PoolSeats& seats,
                                     Instant now) noexcept;

/// @brief Slots of `replica` that this daemon may use at `now`.
[[nodiscard]] int UsableSlots(const PoolSeats& seats,
                              const Pool& pool,
                              const std::string& replica,
                              Instant now) noexcept;

/// @brief Connections to `replica` that this daemon may keep at `now`.
[[nodiscard]] int UsableConnections(const PoolSeats& seats,
                                    const Pool& pool,
                                    const std::string& replica,
                                    Instant now) noexcept;

/// @brief The earliest end of a permit that is valid at `now`.
///
/// A request that was granted a slot must have left before this time.
[[nodiscard]] Instant EarliestEnd(const PoolSeats& seats, Instant now) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROUTING_POOL_SEATS_H_
