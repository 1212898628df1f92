#include "cluster/publish_seats.h"

#include <algorithm>

namespace clementinerill {
namespace {

bool HoldsSeat(const PoolSeats& seats, int seat) noexcept {
  return std::any_of(
      seats.own_.begin(), seats.own_.end(),
      [seat](const UsableSeat& usable) { return usable.seat_ == seat; });
}

void AddSeat(const GroupState& group,
             const SeatRecord& record,
             PublishedSeats& published) {
  const auto& pool = group.group_.pools_[static_cast<size_t>(record.pool_)];
  PoolSeats& seats = published.pools_[pool.name_];
  if (record.holder_ != kNoMember) {
    const auto index = static_cast<size_t>(record.seat_);
    seats.holders_.resize(std::max(seats.holders_.size(), index + 1));
    seats.holders_[index] =
        group.group_.members_[static_cast<size_t>(record.holder_)];
  }
  if (record.permit_.held_) {
    seats.own_.push_back({record.seat_, record.permit_, true});
  }
}

void RetainUsableSeats(const PublishedSeats& previous,
                       PublishedSeats& published,
                       Instant now) {
  for (const auto& [pool, seats] : previous.pools_) {
    for (const UsableSeat& usable : seats.own_) {
      PoolSeats& target = published.pools_[pool];
      if (MayUseSeat(usable.permit_, now) && !HoldsSeat(target, usable.seat_)) {
        target.own_.push_back({usable.seat_, usable.permit_, false});
      }
    }
  }
}

}  // namespace

PublishedSeats PublishSeats(const std::vector<GroupState>& groups,
                            const PublishedSeats& previous,
                            Instant now) {
  PublishedSeats published;
  for (const GroupState& group : groups) {
    published.has_majority_ =
        published.has_majority_ || HasMajority(group, now);
    published.lease_until_ =
        std::max(published.lease_until_, group.lease_until_);
    for (const SeatRecord& record : group.seats_) {
      AddSeat(group, record, published);
    }
  }
  RetainUsableSeats(previous, published, now);
  return published;
}

}  // namespace clementinerill
