#ifndef CLEMENTINERILL_SWEEP_QUERY_POLICY_H_
#define CLEMENTINERILL_SWEEP_QUERY_POLICY_H_

#include <chrono>

#include "base/time.h"

namespace clementinerill {

/// @brief Limits for one query, computed from recent measurements of its pool.
struct QueryPolicy {
  Duration hedge_delay_ = std::chrono::milliseconds(50);
  Duration expected_latency_ = std::chrono::milliseconds(10);
  /// How long before the deadline the answer collected so far is sent.
  Duration finish_margin_ = std::chrono::milliseconds(5);
  int max_attempts_per_part_ = 4;
  int max_restarts_ = 3;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SWEEP_QUERY_POLICY_H_
