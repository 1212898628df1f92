#ifndef CLEMENTINERILL_WARMUP_WARMUP_LIMITS_H_
#define CLEMENTINERILL_WARMUP_WARMUP_LIMITS_H_

#include <chrono>

#include "base/time.h"

namespace clementinerill {

/// @brief Limits that apply to one seat at a replica.
struct WarmupLimits {
  int slots_ = 1;       ///< Slots of the replica, shared by all seats.
  int seat_slots_ = 1;  ///< Share of this seat; all shares add up to `slots_`.

  /// Longest time that a request of another sender can still run: propagation
  /// delay of the advisory, plus the longest route deadline of the pool, plus
  /// the cancellation grace period of 100 ms.
  Duration drain_wait_ = std::chrono::milliseconds(13100);

  /// A response within this latency also counts as fast while no warm sibling
  /// has a recent latency window. Without this, a service whose replicas are
  /// all cold and slower than before would stay at limit 1.
  Duration default_fast_latency_ = std::chrono::milliseconds(250);
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_WARMUP_WARMUP_LIMITS_H_
