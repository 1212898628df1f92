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

/// @brief Whether a seat of this daemon still waits for its handover.
[[nodiscard]] bool HasWaitingSeat(const PublishedSeats& seats,
                                  Instant now) noexcept;

/// @brief Slots of `replica` that this daemon may use at `now`.
[[nodiscard]] int UsableSlots(const PoolSeats& seats,
                              const Pool& pool,
                              const std::string& replica,
                              Instant now) noexcept;

/// @brief Connections that go with the seats of this daemon.
struct SeatConnections {
  int slots_ = 0;  ///< Slots that the connections are for.
  int share_ = 0;  ///< Connections that may be open.
};

/// @brief Connections to `replica` for seats in use or waiting.
///
/// A seat that waits for its handover already opens connections: without them
/// the first queries after the wait would know no snapshot of any upstream.
[[nodiscard]] SeatConnections PlanConnections(const PoolSeats& seats,
                                              const Pool& pool,
                                              const std::string& replica,
                                              Instant now) noexcept;

/// @brief The earliest end of a permit that is valid at `now`.
///
/// A request that was granted a slot must have left before this time.
[[nodiscard]] Instant EarliestEnd(const PoolSeats& seats, Instant now) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROUTING_POOL_SEATS_H_
