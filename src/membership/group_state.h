#ifndef CLEMENTINERILL_MEMBERSHIP_GROUP_STATE_H_
#define CLEMENTINERILL_MEMBERSHIP_GROUP_STATE_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "membership/heartbeat.h"
#include "membership/peer_record.h"
#include "membership/previous_group.h"
#include "membership/seat_record.h"
#include "membership/witness_group.h"

namespace clementinerill {

/// @brief Membership state of one daemon in one witness group.
///
/// Owned by the control thread. `peers_` has one record per member of the
/// group, the daemon itself included.
struct GroupState {
  WitnessGroup group_;
  uint32_t digest_ = 0;
  int self_ = 0;
  uint32_t incarnation_ = 0;
  Instant started_{};
  std::vector<PeerRecord> peers_;
  std::vector<SeatRecord> seats_;          ///< By pool, then by seat.
  Instant lease_until_{};                  ///< Majority of echoes, any seat.
  std::optional<PreviousGroup> previous_;  ///< Set by `ChangeGroup`.
  std::optional<Instant> adopted_;  ///< First seen adopted by a majority.
};

/// @brief What the daemon reports about itself in heartbeats.
struct SelfStatus {
  uint64_t config_version_ = 0;  ///< Zero: no configuration, not ready.
  uint32_t advisory_digest_ = 0;
  bool leaving_ = false;
};

/// @brief Starts the membership of `self` in `group`.
///
/// Errors: `self` is not a member, the group is larger than `kMaxGroupSize`,
/// or the pools have more than 64 seats together.
/// `process_start` is the start of the process, also when the group is built
/// later, for instance after a change of the roster.
[[nodiscard]] Result<GroupState> MakeGroupState(WitnessGroup group,
                                                std::string_view self,
                                                uint32_t incarnation,
                                                Instant process_start,
                                                Instant now);

/// @brief Recomputes liveness, holders and permits. To be called before
/// heartbeats are made and after heartbeats were received.
void Advance(GroupState& state, const SelfStatus& status, Instant now);

/// @brief The heartbeat for one member. Records which seats it supports, so
/// it must be called only for heartbeats that are sent.
[[nodiscard]] Heartbeat MakeHeartbeat(GroupState& state,
                                      const SelfStatus& status,
                                      int receiver,
                                      Instant now);

/// @brief Applies a heartbeat of the member with index `sender`; returns
/// whether it belongs to this group or the previous one and is newer than the
/// sender's last one.
///
/// `sender` is `IndexOf` the name of the link the heartbeat arrived on.
bool ReceiveHeartbeat(GroupState& state,
                      int sender,
                      const Heartbeat& heartbeat,
                      Instant now);

/// @brief Whether a majority echoed a heartbeat sent within `kSelfFence`.
[[nodiscard]] bool HasMajority(const GroupState& state, Instant now) noexcept;

/// @brief The record of a seat, or null when the group has no such seat.
[[nodiscard]] const SeatRecord* FindSeat(const GroupState& state,
                                         std::string_view pool,
                                         int seat) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_GROUP_STATE_H_
