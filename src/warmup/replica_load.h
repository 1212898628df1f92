#ifndef CLEMENTINERILL_WARMUP_REPLICA_LOAD_H_
#define CLEMENTINERILL_WARMUP_REPLICA_LOAD_H_

#include <chrono>

#include "base/time.h"

namespace clementinerill {

/// @brief What the share planner needs to know about one replica.
struct ReplicaLoad {
  int limit_ = 0;          ///< Requests allowed at once now; 0 when it is out.
  double other_load_ = 0;  ///< `X-Load` less the requests counted here.
  Duration latency_ = std::chrono::milliseconds(1);  ///< Mean of an answer.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_WARMUP_REPLICA_LOAD_H_
