#ifndef CLEMENTINERILL_ROLLOUT_PLANNED_STEP_H_
#define CLEMENTINERILL_ROLLOUT_PLANNED_STEP_H_

#include <cstdint>

#include "rollout/wall_time.h"

namespace clementinerill {

/// @brief One step of a rollout.
struct PlannedStep {
  int share_ = 0;  ///< In basis points of the requests: 100 is 1%.
  uint64_t needed_requests_ = 0;  ///< Per route and version.
  WallTime until_;                ///< Earliest start of the next step.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROLLOUT_PLANNED_STEP_H_
