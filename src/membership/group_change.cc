#include "membership/group_change.h"

#include <algorithm>
#include <string>
#include <utility>

#include "membership/timing.h"

namespace clementinerill {
namespace {

// Index in `to` of each member of `from`, or kNoMember.
std::vector<int> MapMembers(const WitnessGroup& from, const WitnessGroup& to) {
  std::vector<int> indexes;
  indexes.reserve(from.members_.size());
  for (const std::string& name : from.members_) {
    indexes.push_back(IndexOf(to, name));
  }
  return indexes;
}

int FindSameSeat(const GroupState& state, const GroupPool& pool, int seat) {
  for (size_t index = 0; index < state.seats_.size(); ++index) {
    const SeatRecord& record = state.seats_[index];
    const GroupPool& other = state.group_.pools_[record.pool_];
    if (record.seat_ == seat && other.name_ == pool.name_ &&
        other.seats_ == pool.seats_) {
      return static_cast<int>(index);
    }
  }
  return -1;
}

// Index in `old` of each seat of `state`, or -1.
std::vector<int> MapSeats(const GroupState& state, const GroupState& old) {
  std::vector<int> indexes;
  indexes.reserve(state.seats_.size());
  for (const SeatRecord& seat : state.seats_) {
    const GroupPool& pool = state.group_.pools_[seat.pool_];
    indexes.push_back(FindSameSeat(old, pool, seat.seat_));
  }
  return indexes;
}

int MapMember(const std::vector<int>& indexes, int member) {
  return member == kNoMember ? kNoMember : indexes[member];
}

uint32_t MapHears(const std::vector<int>& indexes, uint32_t hears) {
  uint32_t result = 0;
  for (size_t member = 0; member < indexes.size(); ++member) {
    if (indexes[member] != kNoMember && ((hears >> member) & 1U) != 0) {
      result |= 1U << indexes[member];
    }
  }
  return result;
}

// `members` maps the members of the old group, `seats` the new seats.
PeerRecord CarryPeer(const PeerRecord& old,
                     const std::vector<int>& members,
                     const std::vector<int>& seats) {
  PeerRecord peer = old;
  peer.hears_ = MapHears(members, old.hears_);
  peer.granted_.assign(seats.size(), std::nullopt);
  for (size_t seat = 0; seat < seats.size(); ++seat) {
    if (seats[seat] >= 0) {
      peer.granted_[seat] = old.granted_[seats[seat]];
    }
  }
  return peer;
}

void CarrySeat(SeatRecord& seat,
               const SeatRecord& old,
               const std::vector<int>& members) {
  seat.holder_ = MapMember(members, old.holder_);
  seat.named_ = MapMember(members, old.named_);
  seat.named_echo_ = old.named_echo_;
  seat.held_since_ = old.held_since_;
  seat.lease_from_ = old.lease_from_;
  seat.permit_ = old.permit_;
}

// Relates the groups for heartbeats in transition, unless they are more than
// one step apart: then the other members no longer use the old group.
void SetPrevious(GroupState& state,
                 const GroupState& old,
                 const std::vector<int>& old_members,
                 std::vector<int> seats,
                 Instant now) {
  if (state.digest_ == old.digest_) {
    state.previous_ = old.previous_;
    state.adopted_ = old.adopted_;
    return;
  }
  std::vector<int> members = MapMembers(state.group_, old.group_);
  const auto added = std::count(members.begin(), members.end(), kNoMember);
  const auto removed =
      std::count(old_members.begin(), old_members.end(), kNoMember);
  if (added + removed <= 1) {
    state.previous_ = PreviousGroup{old.digest_, std::move(members),
                                    std::move(seats), now + kGroupOverlap};
  }
}

}  // namespace

Result<GroupState> ChangeGroup(const GroupState& old,
                               WitnessGroup next,
                               std::string_view self,
                               Instant process_start,
                               Instant now) {
  if (old.group_.members_[old.self_] != self || old.started_ != process_start) {
    return Fail("'" + std::string(self) + "' is not the process of this state");
  }
  auto made = MakeGroupState(std::move(next), self, old.incarnation_,
                             process_start, now);
  if (!made) {
    return made;
  }
  GroupState state = std::move(*made);
  const std::vector<int> members = MapMembers(old.group_, state.group_);
  std::vector<int> seats = MapSeats(state, old);
  for (size_t member = 0; member < members.size(); ++member) {
    if (members[member] != kNoMember) {
      PeerRecord& peer = state.peers_[members[member]];
      peer = CarryPeer(old.peers_[member], members, seats);
      peer.in_group_ = peer.in_group_ && state.digest_ == old.digest_;
    }
  }
  for (size_t seat = 0; seat < seats.size(); ++seat) {
    if (seats[seat] >= 0) {
      CarrySeat(state.seats_[seat], old.seats_[seats[seat]], members);
    }
  }
  state.lease_until_ = old.lease_until_;
  SetPrevious(state, old, members, std::move(seats), now);
  return state;
}

bool MayChangeMembers(const GroupState& state, Instant now) noexcept {
  return state.adopted_ && now - *state.adopted_ >= kGroupSettleTime;
}

}  // namespace clementinerill
