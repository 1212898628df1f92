#include "daemon/warmup_role.h"

#include <algorithm>
#include <chrono>
#include <vector>

#include "membership/slot_share.h"
#include "warmup/select_warmup_seat.h"

namespace clementinerill {
namespace {

// Upper bound for an advisory to reach all daemons: a daemon whose advisories
// do not arrive loses its seats within this time.
constexpr auto kAdvisoryPropagationTime = std::chrono::seconds(3);
constexpr auto kCancellationGrace = std::chrono::milliseconds(100);

bool MayUse(const PoolSeats& seats, int seat, Instant now) noexcept {
  return std::any_of(seats.own_.begin(), seats.own_.end(),
                     [seat, now](const UsableSeat& usable) {
                       return usable.seat_ == seat &&
                              MayUseSeat(usable.permit_, now);
                     });
}

std::chrono::milliseconds MaxDeadline(const RoutingTable& table,
                                      const std::string& pool) {
  std::chrono::milliseconds max_deadline{0};
  for (const auto& [name, route] : table.routes_) {
    if (route.pool_ == pool) {
      max_deadline = std::max(max_deadline, route.longest_deadline_);
    }
  }
  return max_deadline;
}

}  // namespace

SeatRole SeatRoleAt(const Pool& pool,
                    const PoolSeats& seats,
                    const std::string& replica,
                    Instant now) {
  std::vector<int> seat_slots;
  seat_slots.reserve(static_cast<size_t>(pool.seats_));
  for (int seat = 0; seat < pool.seats_; ++seat) {
    seat_slots.push_back(SlotShare(pool, seat, replica));
  }
  const auto warmup_seat = SelectWarmupSeat(seat_slots, replica);
  return warmup_seat && MayUse(seats, *warmup_seat, now) ? SeatRole::kWarmup
                                                         : SeatRole::kOther;
}

WarmupLimits WarmupLimitsOf(const RoutingTable& table,
                            const RoutingPool& pool) {
  WarmupLimits limits;
  limits.slots_ = pool.pool_.slots_;
  limits.drain_wait_ = kAdvisoryPropagationTime +
                       MaxDeadline(table, pool.pool_.name_) +
                       kCancellationGrace;
  return limits;
}

}  // namespace clementinerill
