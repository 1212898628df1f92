#include "routing/pool_seats.h"

#include <algorithm>

#include "membership/slot_share.h"

namespace clementinerill {

bool AcceptsNewQueries(const PoolSeats& seats, Instant now) noexcept {
  return std::any_of(
      seats.own_.begin(), seats.own_.end(), [now](const UsableSeat& seat) {
        return seat.accepts_new_ && MayUseSeat(seat.permit_, now);
      });
}

bool HasWaitingSeat(const PublishedSeats& seats, Instant now) noexcept {
  for (const auto& [pool, pool_seats] : seats.pools_) {
    for (const UsableSeat& seat : pool_seats.own_) {
      if (seat.accepts_new_ && !MayUseSeat(seat.permit_, now)) {
        return true;
      }
    }
  }
  return false;
}

int UsableSlots(const PoolSeats& seats,
                const Pool& pool,
                const std::string& replica,
                Instant now) noexcept {
  int slots = 0;
  for (const UsableSeat& seat : seats.own_) {
    if (MayUseSeat(seat.permit_, now)) {
      slots += SlotShare(pool, seat.seat_, replica);
    }
  }
  return slots;
}

SeatConnections PlanConnections(const PoolSeats& seats,
                                const Pool& pool,
                                const std::string& replica,
                                Instant now) noexcept {
  SeatConnections plan;
  for (const UsableSeat& seat : seats.own_) {
    const bool pending_handover =
        seat.permit_.held_ && now < seat.permit_.valid_from_;
    if (pending_handover || MayUseSeat(seat.permit_, now)) {
      plan.slots_ += SlotShare(pool, seat.seat_, replica);
      plan.share_ += ConnectionShare(pool, seat.seat_, replica);
    }
  }
  return plan;
}

Instant EarliestEnd(const PoolSeats& seats, Instant now) noexcept {
  Instant earliest = Instant::max();
  for (const UsableSeat& seat : seats.own_) {
    if (MayUseSeat(seat.permit_, now)) {
      earliest = std::min(earliest, seat.permit_.valid_until_);
    }
  }
  return earliest;
}

}  // namespace clementinerill
