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

// `seat_counts` has the number of earlier seats of the pool per member.
int ChooseHolder(const GroupState& state,
                 const SeatRecord& seat,
                 const std::vector<int>& seat_counts) {
  int best = kNoMember;
  for (const int member : seat.ranks_) {
    if (!IsEligible(state.peers_[member])) {
      continue;
    }
    if (best == kNoMember || seat_counts[member] < seat_counts[best]) {
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
  if (seat.holder_ == state.self_ && seat.granted_to_ == state.self_) {
    seat.last_grant_ = now;
  }
  seat.holder_ = holder;
  seat.handover_start_ = now;
  seat.lease_start_.reset();
  seat.permit_ = SeatPermit{};
}

void UpdateGrant(SeatRecord& seat, Instant now) noexcept {
  const bool lease_expired = now - seat.last_grant_ >= kLeaseDuration;
  if (seat.granted_to_ != seat.holder_ && lease_expired) {
    seat.granted_to_ = seat.holder_;
  }
}

Instant SeatLeaseEnd(const GroupState& state, size_t index, Instant now) {
  std::vector<Instant> sent;
  for (const PeerRecord& peer : state.peers_) {
    if (peer.last_granted_[index]) {
      sent.push_back(*peer.last_granted_[index]);
    }
  }
  if (state.seats_[index].granted_to_ == state.self_ && IsWitness(state, now)) {
    sent.push_back(now);
  }
  return LeaseEnd(std::move(sent), MajorityOf(state.group_));
}

void RenewPermit(GroupState& state, size_t index, Instant now) {
  SeatRecord& seat = state.seats_[index];
  if (seat.holder_ != state.self_) {
    return;
  }
  if (seat.lease_start_ && now >= seat.permit_.valid_until_) {
    seat.lease_start_.reset();
    seat.handover_start_ = now;
  }
  const Instant lease_end = SeatLeaseEnd(state, index, now);
  if (!seat.lease_start_ && lease_end > now) {
    seat.lease_start_ = now;
  }
  // Requests of the previous holder may run for the longest deadline after its
  // lease has ended, and that lease ended before the lease of this daemon
  // began.
  const Duration deadline = state.group_.pools_[seat.pool_].longest_deadline_;
  const Instant handover_end = seat.handover_start_ + kHandoverDelay + deadline;
  const Instant drain_end = seat.lease_start_.value_or(now) + deadline;
  seat.permit_ = {true, std::max(handover_end, drain_end), lease_end};
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
      record.last_grant_ = now;
      seats.push_back(std::move(record));
    }
  }
  return seats;
}

void UpdateSeats(GroupState& state, Instant now) {
  std::vector<int> seat_counts(state.peers_.size());
  for (size_t index = 0; index < state.seats_.size(); ++index) {
    SeatRecord& seat = state.seats_[index];
    if (seat.seat_ == 0) {
      std::fill(seat_counts.begin(), seat_counts.end(), 0);
    }
    const int holder = ChooseHolder(state, seat, seat_counts);
    if (holder != kNoMember) {
      ++seat_counts[holder];
    }
    SetHolder(state, seat, holder, now);
    UpdateGrant(seat, now);
    RenewPermit(state, index, now);
  }
}

}  // namespace clementinerill
