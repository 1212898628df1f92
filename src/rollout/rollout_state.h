#ifndef CLEMENTINERILL_ROLLOUT_ROLLOUT_STATE_H_
#define CLEMENTINERILL_ROLLOUT_ROLLOUT_STATE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "rollout/rollout_status.h"
#include "rollout/route_counts.h"
#include "rollout/stop_reason.h"
#include "rollout/wall_time.h"

namespace clementinerill {

/// @brief State document of a rollout, stored as one object.
///
/// Every write is conditional on the object version that was read.
struct RolloutState {
  std::string rollout_id_;
  size_t step_ = 0;
  int share_ = 0;            ///< In basis points of the requests: 100 is 1%.
  uint64_t generation_ = 0;  ///< Incremented by every change.
  WallTime since_;           ///< Start of this step or status.
  RolloutStatus status_ = RolloutStatus::kRunning;
  StopReason reason_ = StopReason::kNone;  ///< Why it was rolled back.
  std::string route_;                      ///< Route that gave that reason.

  /// Counts of the old version from the last step but one; compared with the
  /// new version once the old one gets no requests.
  std::vector<RouteCounts> baseline_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROLLOUT_ROLLOUT_STATE_H_
