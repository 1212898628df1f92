#ifndef CLEMENTINERILL_MEMBERSHIP_SEAT_RECORD_H_
#define CLEMENTINERILL_MEMBERSHIP_SEAT_RECORD_H_

#include <optional>
#include <vector>

#include "base/time.h"
#include "membership/seat_permit.h"

namespace clementinerill {

/// @brief Index of no member.
inline constexpr int kNoMember = -1;

/// @brief What a daemon knows about one seat of its group's pools.
///
/// `named_` is the member this witness supports. It follows `holder_` only
/// after the lease that rests on its earlier echoes has run out, so no two
/// members can hold a majority of echoes for the seat at the same time.
struct SeatRecord {
  int pool_ = 0;            ///< Index in `WitnessGroup::pools_`.
  int seat_ = 0;            ///< Index within the pool.
  std::vector<int> ranks_;  ///< All members by rendezvous rank, best first.
  int holder_ = kNoMember;  ///< By this daemon's view.
  int named_ = kNoMember;   ///< Supported in heartbeats.
  Instant named_echo_{};    ///< Latest moment a lease of `named_` rests on.
  Instant held_since_{};    ///< Start of the handover wait, when held.
  std::optional<Instant> lease_from_;  ///< Start of the unbroken lease.
  SeatPermit permit_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_SEAT_RECORD_H_
