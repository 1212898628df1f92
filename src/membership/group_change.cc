#include "membership/group_change.h"

#include <algorithm>
#include <string>
#include <utility>

#include "membership/timing.h"

namespace clementinerill {
namespace {

// Returns the index in `to` of each member of `from`, or kNoMember.
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

// Returns the index in `old` of each seat of `state`, or -1.
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

uint32_t MapMemberBits(const std::vector<int>& indexes, uint32_t heard_bits) {
  uint32_t result = 0;
  for (size_t member = 0; member < indexes.size(); ++member) {
    if (indexes[member] != kNoMember && ((heard_bits >> member) & 1U) != 0) {
      result |= 1U << indexes[member];
    }
  }
  return result;
}

// `members` maps indexes of the old group to the new one, `seats` maps indexes
// of new seats to old ones.
PeerRecord CarryOverPeer(const PeerRecord& old,
                         const std::vector<int>& members,
                         const std::vector<int>& seats) {
  PeerRecord peer = old;
  peer.hears_ = MapMemberBits(members, old.hears_);
  peer.last_granted_.assign(seats.size(), std::nullopt);
  for (size_t seat = 0; seat < seats.size(); ++seat) {
    if (seats[seat] >= 0) {
      peer.last_granted_[seat] = old.last_granted_[seats[seat]];
    }
  }
  return peer;
}

void CarryOverSeat(SeatRecord& seat,
                   const SeatRecord& old,
                   const std::vector<int>& members) {
  seat.holder_ = MapMember(members, old.holder_);
  seat.granted_to_ = MapMember(members, old.granted_to_);
  seat.last_grant_ = old.last_grant_;
  seat.handover_start_ = old.handover_start_;
  seat.lease_start_ = old.lease_start_;
  seat.permit_ = old.permit_;
}

// Keeps the mapping to the old group, which heartbeats use until all members
// have adopted the new one. Omits it when the groups differ by more than one
// member, because then the other members no longer use the old group.
void SetPreviousGroup(GroupState& state,
                      const GroupState& old,
                      const std::vector<int>& old_members,
                      std::vector<int> seats,
                      Instant now) {
  if (state.digest_ == old.digest_) {
    state.previous_ = old.previous_;
    state.adopted_at_ = old.adopted_at_;
    return;
  }
  std::vector<int> members = MapMembers(state.group_, old.group_);
  const auto added = std::count(members.begin(), members.end(), kNoMember);
  const auto removed =
      std::count(old_members.begin(), old_members.end(), kNoMember);
  if (added + removed <= 1) {
    state.previous_ =
        PreviousGroup{old.digest_, std::move(members), std::move(seats),
                      now + kGroupTransitionTime};
  }
}

}  // namespace

Result<GroupState> ChangeGroup(const GroupState& old,
                               WitnessGroup next,
                               std::string_view self,
                               Instant process_start,
                               Instant now) {
  if (old.group_.members_[old.self_] != self || old.started_ != process_start) {
    return Fail(
        "'" + std::string(self) +
        "' differs from the group state in daemon name or process start");
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
      peer = CarryOverPeer(old.peers_[member], members, seats);
      peer.in_group_ = peer.in_group_ && state.digest_ == old.digest_;
    }
  }
  for (size_t seat = 0; seat < seats.size(); ++seat) {
    if (seats[seat] >= 0) {
      CarryOverSeat(state.seats_[seat], old.seats_[seats[seat]], members);
    }
  }
  state.lease_until_ = old.lease_until_;
  SetPreviousGroup(state, old, members, std::move(seats), now);
  return state;
}

bool MayChangeMembers(const GroupState& state, Instant now) noexcept {
  return state.adopted_at_ && now - *state.adopted_at_ >= kGroupSettleTime;
}

}  // namespace clementinerill
