#include "membership/group_state.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "membership/lease.h"
#include "membership/liveness.h"
#include "membership/seats.h"
#include "membership/timing.h"

namespace clementinerill {
namespace {

constexpr int kMaxSeats = 64;

int CountSeats(const WitnessGroup& group) noexcept {
  int seats = 0;
  for (const GroupPool& pool : group.pools_) {
    seats += pool.seats_;
  }
  return seats;
}

Instant MajorityLeaseEnd(const GroupState& state, Instant now) {
  std::vector<Instant> sent;
  for (const PeerRecord& peer : state.peers_) {
    if (peer.last_echoed_) {
      sent.push_back(*peer.last_echoed_);
    }
  }
  if (IsWitness(state, now)) {
    sent.push_back(now);
  }
  return LeaseEnd(std::move(sent), MajorityOf(state.group_));
}

// The daemon stays ready for `kHeartbeatTimeout` after its lease has expired,
// so that a short loss of echoes does not move its seats away and back.
bool IsReady(const GroupState& state, const SelfStatus& status, Instant now) {
  if (status.config_version_ == 0 || status.leaving_) {
    return false;
  }
  const bool never = state.lease_until_ == Instant::min();
  return !never && now < state.lease_until_ + kHeartbeatTimeout;
}

void UpdateSelf(GroupState& state, const SelfStatus& status, Instant now) {
  state.lease_until_ = MajorityLeaseEnd(state, now);
  PeerRecord& self = state.peers_[state.self_];
  self.incarnation_ = state.incarnation_;
  self.leaving_ = status.leaving_;
  self.ready_ = IsReady(state, status, now);
}

void UpdateAdoption(GroupState& state, Instant now) {
  state.peers_[state.self_].in_group_ = true;
  const auto members =
      std::count_if(state.peers_.begin(), state.peers_.end(),
                    [](const PeerRecord& peer) { return peer.in_group_; });
  if (!state.adopted_at_ && members >= MajorityOf(state.group_)) {
    state.adopted_at_ = now;
  }
}

void SetToLatest(std::optional<Instant>& latest, Instant value) noexcept {
  latest = latest ? std::max(*latest, value) : value;
}

void ApplyEcho(GroupState& state,
               int sender,
               const Heartbeat& heartbeat,
               Instant now) {
  const bool counts = heartbeat.has_echo_ && heartbeat.witness_ &&
                      heartbeat.echo_incarnation_ == state.incarnation_;
  const auto age = std::chrono::milliseconds(heartbeat.echo_sent_ms_);
  if (!counts || age > now - state.started_) {
    return;
  }
  const Instant sent = state.started_ + age;
  PeerRecord& peer = state.peers_[sender];
  SetToLatest(peer.last_echoed_, sent);
  for (size_t seat = 0; seat < state.seats_.size(); ++seat) {
    if (((heartbeat.grants_ >> seat) & 1U) != 0) {
      SetToLatest(peer.last_granted_[seat], sent);
    }
  }
}

uint32_t HeardRecentlyBits(const GroupState& state, Instant now) noexcept {
  uint32_t bits = 0;
  for (size_t member = 0; member < state.peers_.size(); ++member) {
    if (HeardRecently(state, static_cast<int>(member), now)) {
      bits |= 1U << member;
    }
  }
  return bits;
}

bool UsesPreviousGroup(const GroupState& state, int receiver, Instant now) {
  return state.previous_ && now < state.previous_->send_until_ &&
         !state.peers_[receiver].in_group_ &&
         state.previous_->members_[receiver] != kNoMember;
}

bool IsFromPreviousGroup(const GroupState& state,
                         int sender,
                         const Heartbeat& heartbeat) {
  return state.previous_ && heartbeat.group_ == state.previous_->digest_ &&
         state.previous_->members_[sender] != kNoMember;
}

uint64_t GrantSeats(GroupState& state, int receiver) {
  uint64_t bits = 0;
  const Instant heard = *state.peers_[receiver].last_heard_;
  for (size_t index = 0; index < state.seats_.size(); ++index) {
    SeatRecord& seat = state.seats_[index];
    if (seat.granted_to_ == receiver && seat.holder_ == receiver) {
      seat.last_grant_ = std::max(seat.last_grant_, heard);
      bits |= uint64_t{1} << index;
    }
  }
  return bits;
}

}  // namespace

Result<GroupState> MakeGroupState(WitnessGroup group,
                                  std::string_view self,
                                  uint32_t incarnation,
                                  Instant process_start,
                                  Instant now) {
  const int index = IndexOf(group, self);
  if (index < 0) {
    return Fail("daemon '" + std::string(self) +
                "' is not a member of group '" + group.name_ + "'");
  }
  if (static_cast<int>(group.members_.size()) > kMaxGroupSize) {
    return Fail("group '" + group.name_ + "' has more than " +
                std::to_string(kMaxGroupSize) + " members");
  }
  if (CountSeats(group) > kMaxSeats) {
    return Fail("group '" + group.name_ + "' has more than " +
                std::to_string(kMaxSeats) + " seats");
  }
  GroupState state;
  state.digest_ = DigestOf(group);
  state.self_ = index;
  state.incarnation_ = incarnation;
  state.started_ = process_start;
  state.lease_until_ = Instant::min();
  state.seats_ = MakeSeats(group, now);
  state.peers_.resize(group.members_.size());
  for (PeerRecord& peer : state.peers_) {
    peer.last_granted_.resize(state.seats_.size());
  }
  state.group_ = std::move(group);
  return state;
}

void Advance(GroupState& state, const SelfStatus& status, Instant now) {
  UpdateSelf(state, status, now);
  UpdateAdoption(state, now);
  UpdateLiveness(state, now);
  UpdateSeats(state, now);
}

Heartbeat MakeHeartbeat(GroupState& state,
                        const SelfStatus& status,
                        int receiver,
                        Instant now) {
  Heartbeat heartbeat;
  heartbeat.group_ = state.digest_;
  heartbeat.incarnation_ = state.incarnation_;
  heartbeat.sent_ms_ =
      static_cast<uint64_t>(ToMilliseconds(now - state.started_));
  heartbeat.hears_ = HeardRecentlyBits(state, now);
  heartbeat.config_version_ = status.config_version_;
  heartbeat.advisory_digest_ = status.advisory_digest_;
  heartbeat.leaving_ = status.leaving_;
  heartbeat.ready_ = state.peers_[state.self_].ready_;
  heartbeat.witness_ = IsWitness(state, now);
  const PeerRecord& peer = state.peers_[receiver];
  if (heartbeat.witness_ && peer.last_heard_) {
    heartbeat.has_echo_ = true;
    heartbeat.echo_incarnation_ = peer.incarnation_;
    heartbeat.echo_sent_ms_ = peer.last_sent_ms_;
    heartbeat.grants_ = GrantSeats(state, receiver);
  }
  if (UsesPreviousGroup(state, receiver, now)) {
    return ToPreviousGroup(*state.previous_, heartbeat);
  }
  return heartbeat;
}

bool ReceiveHeartbeat(GroupState& state,
                      int sender,
                      const Heartbeat& received,
                      Instant now) {
  const bool is_peer = sender >= 0 &&
                       sender < static_cast<int>(state.peers_.size()) &&
                       sender != state.self_;
  const bool in_group = received.group_ == state.digest_;
  if (!is_peer ||
      (!in_group && !IsFromPreviousGroup(state, sender, received))) {
    return false;
  }
  const Heartbeat heartbeat =
      in_group ? received : FromPreviousGroup(*state.previous_, received);
  PeerRecord& peer = state.peers_[sender];
  const bool same_process = peer.incarnation_ == heartbeat.incarnation_;
  if (same_process && heartbeat.sent_ms_ <= peer.last_sent_ms_ &&
      peer.last_heard_) {
    return false;
  }
  peer.incarnation_ = heartbeat.incarnation_;
  peer.last_sent_ms_ = heartbeat.sent_ms_;
  peer.last_heard_ = now;
  peer.in_group_ = in_group;
  peer.leaving_ = heartbeat.leaving_;
  peer.ready_ = heartbeat.ready_;
  peer.witness_ = heartbeat.witness_;
  peer.hears_ = heartbeat.hears_;
  peer.config_version_ = heartbeat.config_version_;
  peer.advisory_digest_ = heartbeat.advisory_digest_;
  ApplyEcho(state, sender, heartbeat, now);
  return true;
}

bool HasMajority(const GroupState& state, Instant now) noexcept {
  return now < state.lease_until_;
}

const SeatRecord* FindSeat(const GroupState& state,
                           std::string_view pool,
                           int seat) noexcept {
  for (const SeatRecord& record : state.seats_) {
    if (record.seat_ == seat &&
        state.group_.pools_[record.pool_].name_ == pool) {
      return &record;
    }
  }
  return nullptr;
}

}  // namespace clementinerill
