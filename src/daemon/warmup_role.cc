#include "daemon/warmup_role.h"

#include <algorithm>
#include <chrono>
#include <vector>

#include "routing/seat_share.h"
#include "warmup/warmup_seat.h"

namespace clementinerill {
namespace {

// A daemon whose advisories do not arrive loses its seats within this time.
constexpr auto kAdvisorySpread = std::chrono::seconds(3);
constexpr auto kCancellationGrace = std::chrono::milliseconds(100);

const std::vector<int>& HeldSeats(const RoutingPool& pool) noexcept {
  return pool.held_seats_;
}

std::chrono::milliseconds LongestDeadline(const RoutingTable& table,
                                          const std::string& pool) {
  std::chrono::milliseconds longest{0};
  for (const auto& [name, route] : table.routes_) {
    if (route.pool_ == pool) {
      longest = std::max(longest, route.longest_deadline_);
    }
  }
  return longest;
}

}  // namespace

SeatRole SeatRoleAt(const RoutingPool& pool, const std::string& replica) {
  std::vector<int> seat_slots;
  seat_slots.reserve(static_cast<size_t>(pool.pool_.seats_));
  for (int seat = 0; seat < pool.pool_.seats_; ++seat) {
    seat_slots.push_back(
        ShareOfSeat(pool.pool_.slots_, pool.pool_.seats_, seat, replica));
  }
  const auto warmup_seat = WarmupSeat(seat_slots, replica);
  const std::vector<int>& held = HeldSeats(pool);
  const bool is_held = warmup_seat && std::find(held.begin(), held.end(),
                                                *warmup_seat) != held.end();
  return is_held ? SeatRole::kWarmup : SeatRole::kOther;
}

WarmupLimits WarmupLimitsOf(const RoutingTable& table,
                            const RoutingPool& pool,
                            const RoutingTarget& target) {
  WarmupLimits limits;
  limits.slots_ = pool.pool_.slots_;
  limits.seat_slots_ = target.slots_;
  limits.drain_wait_ = kAdvisorySpread +
                       LongestDeadline(table, pool.pool_.name_) +
                       kCancellationGrace;
  return limits;
}

}  // namespace clementinerill
