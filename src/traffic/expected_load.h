#ifndef CLEMENTINERILL_TRAFFIC_EXPECTED_LOAD_H_
#define CLEMENTINERILL_TRAFFIC_EXPECTED_LOAD_H_

#include "base/time.h"
#include "traffic/replica_state.h"

namespace clementinerill::traffic {

/// @brief What the next request at a replica is expected to meet.
struct ExpectedLoad {
  /// Latency relative to the median of the route, without waiting.
  double slowness_ = 1;
  double growth_ = 1;  ///< Factor on that from the requests in progress.
  double busy_ = 0;    ///< Running and queued requests of all callers.
  double slots_ = 1;   ///< Requests that the replica runs at a time.
};

/// @brief Returns the expected load of a replica.
///
/// Of a replica that reports its pace, it follows from the estimate of its
/// speed and capacity; of others from `Slowness`, `EstimatedBusy` and the slots
/// of the entry.
[[nodiscard]] ExpectedLoad ExpectLoad(const ReplicaState& replica, Instant now);

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_EXPECTED_LOAD_H_
