#ifndef CLEMENTINERILL_ROUTING_POOL_SEATS_H_
#define CLEMENTINERILL_ROUTING_POOL_SEATS_H_

#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "config/pool.h"
#include "routing/usable_seat.h"

namespace clementinerill {

/// @brief Seat assignment of one pool, as known to this daemon.
struct PoolSeats {
  std::vector<UsableSeat> own_;
  /// Holder of each seat, indexed by seat and including this daemon. An empty
  /// name means that the holder is unknown.
  std::vector<std::string> holders_;
};

/// @brief Seat assignments of all pools, published by the control thread.
struct PublishedSeats {
  std::map<std::string, PoolSeats> pools_;
  bool has_majority_ = false;
  Instant lease_until_;  ///< Latest time at which the majority lease ends.
};

/// @brief Whether this daemon may start a new query.
[[nodiscard]] bool AcceptsNewQueries(const PoolSeats& seats,
                                     Instant now) noexcept;

/// @brief Whether any seat of this daemon accepts new queries but has no valid
/// permit at `now`, for example while its handover is pending.
[[nodiscard]] bool HasWaitingSeat(const PublishedSeats& seats,
                                  Instant now) noexcept;

/// @brief Number of slots of `replica` that this daemon may use at `now`.
[[nodiscard]] int UsableSlots(const PoolSeats& seats,
                              const Pool& pool,
                              const std::string& replica,
                              Instant now) noexcept;

/// @brief Connection budget for the seats of this daemon.
struct SeatConnections {
  int slots_ = 0;  ///< Slots that the connections serve.
  int share_ = 0;  ///< Maximum number of open connections.
};

/// @brief Connection budget for `replica` over the seats that are usable or
/// pending handover.
///
/// A seat opens connections while its handover is still pending. Otherwise the
/// daemon would not know the snapshots of any upstream for the first queries
/// after the handover.
[[nodiscard]] SeatConnections PlanConnections(const PoolSeats& seats,
                                              const Pool& pool,
                                              const std::string& replica,
                                              Instant now) noexcept;

/// @brief Returns the earliest expiry among the permits valid at `now`.
///
/// A request that was granted a slot must be sent before this time.
[[nodiscard]] Instant EarliestEnd(const PoolSeats& seats, Instant now) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROUTING_POOL_SEATS_H_
