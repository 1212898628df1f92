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

/// @brief State of one daemon as a member of one witness group.
///
/// Owned by the control thread. `peers_` has one record per member of the
/// group, including the daemon itself.
struct GroupState {
  WitnessGroup group_;
  uint32_t digest_ = 0;
  int self_ = 0;
  uint32_t incarnation_ = 0;
  Instant started_{};
  std::vector<PeerRecord> peers_;
  std::vector<SeatRecord> seats_;  ///< Ordered by pool, then seat.
  Instant lease_until_{};          ///< End of the majority of echoes, any seat.
  std::optional<PreviousGroup> previous_;  ///< Set by `ChangeGroup`.
  /// When a majority was first seen to have adopted the group.
  std::optional<Instant> adopted_at_;
};

/// @brief The daemon's own status, which its heartbeats report.
struct SelfStatus {
  uint64_t config_version_ = 0;  ///< Zero without a configuration (not ready).
  uint32_t advisory_digest_ = 0;
  bool leaving_ = false;
};

/// @brief Returns the initial state of `self` as a member of `group`.
///
/// Returns an error when `self` is not a member, when the group is larger than
/// `kMaxGroupSize`, or when its pools have more than 64 seats in total.
/// `process_start` is the start of the process, even when the group is created
/// later, for instance after a change of the roster.
[[nodiscard]] Result<GroupState> MakeGroupState(WitnessGroup group,
                                                std::string_view self,
                                                uint32_t incarnation,
                                                Instant process_start,
                                                Instant now);

/// @brief Recomputes liveness, holders and permits. Call it after heartbeats
/// were received and before heartbeats are made.
void Advance(GroupState& state, const SelfStatus& status, Instant now);

/// @brief Returns the heartbeat for one member and records the seats that it
/// grants, so it must be called only for heartbeats that are sent.
[[nodiscard]] Heartbeat MakeHeartbeat(GroupState& state,
                                      const SelfStatus& status,
                                      int receiver,
                                      Instant now);

/// @brief Applies a heartbeat of the member with index `sender`; returns false
/// when it belongs to neither this group nor the previous one, or is not newer
/// than the last one of this sender.
///
/// `sender` is the index of the member whose link delivered the heartbeat.
bool ReceiveHeartbeat(GroupState& state,
                      int sender,
                      const Heartbeat& heartbeat,
                      Instant now);

/// @brief Whether a majority has echoed heartbeats that this daemon sent within
/// the last `kLeaseDuration`.
[[nodiscard]] bool HasMajority(const GroupState& state, Instant now) noexcept;

/// @brief Returns the record of a seat, or null when the group has no such
/// seat.
[[nodiscard]] const SeatRecord* FindSeat(const GroupState& state,
                                         std::string_view pool,
                                         int seat) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_GROUP_STATE_H_
