#ifndef CLEMENTINERILL_WARMUP_REPLICA_LOAD_H_
#define CLEMENTINERILL_WARMUP_REPLICA_LOAD_H_

#include <chrono>

#include "base/time.h"

namespace clementinerill {

/// @brief Capacity and load of one replica, as input of `PlanShares`.
struct ReplicaLoad {
  int limit_ = 0;  ///< Concurrent requests allowed; 0 if out of service.
  double other_load_ = 0;  ///< `X-Load` minus the requests of this daemon.
  Duration latency_ = std::chrono::milliseconds(1);  ///< Mean response latency.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_WARMUP_REPLICA_LOAD_H_
