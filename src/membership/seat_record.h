#ifndef CLEMENTINERILL_MEMBERSHIP_SEAT_RECORD_H_
#define CLEMENTINERILL_MEMBERSHIP_SEAT_RECORD_H_

#include <optional>
#include <vector>

#include "base/time.h"
#include "membership/seat_permit.h"

namespace clementinerill {

/// @brief Member index that stands for no member.
inline constexpr int kNoMember = -1;

/// @brief A daemon's view of one seat of its group's pools.
///
/// `granted_to_` is the member to which this witness grants the seat in its
/// heartbeats. It is set to `holder_` only after a lease based on the earlier
/// grants has expired, so no two members can have a majority of grants for the
/// seat at the same time.
struct SeatRecord {
  int pool_ = 0;                ///< Index in `WitnessGroup::pools_`.
  int seat_ = 0;                ///< Index within the pool.
  std::vector<int> ranks_;      ///< All members by rendezvous rank, best first.
  int holder_ = kNoMember;      ///< As computed by this daemon.
  int granted_to_ = kNoMember;  ///< Receives the grants of this witness.
  Instant last_grant_{};        ///< Latest time from which its lease counts.
  Instant handover_start_{};    ///< Start of the handover delay, when held.
  std::optional<Instant> lease_start_;  ///< Start of the uninterrupted lease.
  SeatPermit permit_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_SEAT_RECORD_H_
