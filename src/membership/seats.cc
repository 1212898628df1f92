#include "membership/seats.h"

#include <algorithm>
#include <string>

#include "base/rendezvous.h"
#include "membership/lease.h"
#include "membership/liveness.h"
#include "membership/timing.h"

namespace clementinerill {
namespace {

std::vector<int> RankMembers(const WitnessGroup& group,
                             const GroupPool& pool,
                             int seat) {
  const std::string key = pool.name_ + '/' + std::to_string(seat);
  std::vector<int> ranks;
  for (const std::string& name : RankByRendezvous(key, group.members_)) {
    ranks.push_back(IndexOf(group, name));
  }
  return ranks;
}

bool IsEligible(const PeerRecord& peer) noexcept {
  return peer.live_ && peer.ready_ && !peer.leaving_;
}

// `held` counts the earlier seats of the pool per member.
int ChooseHolder(const GroupState& state,
                 const SeatRecord& seat,
                 const std::vector<int>& held) {
  int best = kNoMember;
  for (const int member : seat.ranks_) {
    if (!IsEligible(state.peers_[member])) {
      continue;
    }
    if (best == kNoMember || held[member] < held[best]) {
      best = member;
    }
  }
  return best;
}

void SetHolder(const GroupState& state,
               SeatRecord& seat,
               int holder,
               Instant now) {
  if (holder == seat.holder_) {
    return;
  }
  if (seat.holder_ == state.self_ && seat.named_ == state.self_) {
    seat.named_echo_ = now;
  }
  seat.holder_ = holder;
  seat.held_since_ = now;
  seat.lease_from_.reset();
  seat.permit_ = SeatPermit{};
}

void FollowHolder(SeatRecord& seat, Instant now) noexcept {
  const bool lease_over = now - seat.named_echo_ >= kSelfFence;
  if (seat.named_ != seat.holder_ && lease_over) {
    seat.named_ = seat.holder_;
  }
}

Instant SeatLeaseEnd(const GroupState& state, size_t index, Instant now) {
  std::vector<Instant> sent;
  for (const PeerRecord& peer : state.peers_) {
    if (peer.granted_[index]) {
      sent.push_back(*peer.granted_[index]);
    }
  }
  if (state.seats_[index].named_ == state.self_ && IsWitness(state, now)) {
    sent.push_back(now);
  }
  return LeaseEnd(std::move(sent), MajorityOf(state.group_));
}

void RenewPermit(GroupState& state, size_t index, Instant now) {
  SeatRecord& seat = state.seats_[index];
  if (seat.holder_ != state.self_) {
    return;
  }
  if (seat.lease_from_ && now >= seat.permit_.valid_until_) {
    seat.lease_from_.reset();
    seat.held_since_ = now;
  }
  const Instant lease_end = SeatLeaseEnd(state, index, now);
  if (!seat.lease_from_ && lease_end > now) {
    seat.lease_from_ = now;
  }
  // Requests of the previous holder may run for the longest deadline after
  // its lease ended, which is before this daemon's lease began.
  const Duration deadline = state.group_.pools_[seat.pool_].longest_deadline_;
  const Instant handover = seat.held_since_ + kHandoverWait + deadline;
  const Instant lease_from = seat.lease_from_.value_or(now) + deadline;
  seat.permit_ = {true, std::max(handover, lease_from), lease_end};
}

}  // namespace

std::vector<SeatRecord> MakeSeats(const WitnessGroup& group, Instant now) {
  std::vector<SeatRecord> seats;
  for (size_t pool = 0; pool < group.pools_.size(); ++pool) {
    for (int seat = 0; seat < group.pools_[pool].seats_; ++seat) {
      SeatRecord record;
      record.pool_ = static_cast<int>(pool);
      record.seat_ = seat;
      record.ranks_ = RankMembers(group, group.pools_[pool], seat);
      record.named_echo_ = now;
      seats.push_back(std::move(record));
    }
  }
  return seats;
}

void UpdateSeats(GroupState& state, Instant now) {
  std::vector<int> held(state.peers_.size());
  for (size_t index = 0; index < state.seats_.size(); ++index) {
    SeatRecord& seat = state.seats_[index];
    if (seat.seat_ == 0) {
      std::fill(held.begin(), held.end(), 0);
    }
    const int holder = ChooseHolder(state, seat, held);
    if (holder != kNoMember) {
      ++held[holder];
    }
    SetHolder(state, seat, holder, now);
    FollowHolder(seat, now);
    RenewPermit(state, index, now);
  }
}

}  // namespace clementinerill
