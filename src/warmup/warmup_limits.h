#ifndef CLEMENTINERILL_WARMUP_WARMUP_LIMITS_H_
#define CLEMENTINERILL_WARMUP_WARMUP_LIMITS_H_

#include <chrono>

#include "base/time.h"

namespace clementinerill {

/// @brief The bounds under which one seat uses a replica.
struct WarmupLimits {
  int slots_ = 1;       ///< Slots of the replica for all seats together.
  int seat_slots_ = 1;  ///< Share of this seat; shares add up to `slots_`.

  /// Longest time for which a request of another sender can still run: spread
  /// of the advisory, longest route deadline of the pool and the cancellation
  /// grace period of 100 ms.
  Duration drain_wait_ = std::chrono::milliseconds(13100);

  /// An answer up to this latency also counts as fast while no warm sibling
  /// has a recent latency. Otherwise a service whose replicas are all cold and
  /// now slower than before would stay at limit 1.
  Duration default_fast_latency_ = std::chrono::milliseconds(250);
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_WARMUP_WARMUP_LIMITS_H_
