#ifndef CLEMENTINERILL_ROLLOUT_ROLLOUT_PLAN_H_
#define CLEMENTINERILL_ROLLOUT_ROLLOUT_PLAN_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "base/result.h"
#include "rollout/planned_step.h"
#include "rollout/rollout_request.h"

namespace clementinerill {

/// @brief Share, needed requests and part of the whole time of each step.
struct StepShape {
  int share_;
  uint64_t needed_requests_;
  double time_;
};

/// The two first steps take 85% of the time, so that a fault that shows late
/// shows at 5% of the traffic or less, and so that the new version has had less
/// than 5% of all requests when a fault shows at 25% or 50%.
inline constexpr std::array<StepShape, 5> kStepShapes = {{
    {100, 100, 0.40},
    {500, 200, 0.45},
    {2500, 400, 0.05},
    {5000, 400, 0.05},
    {10000, 400, 0.05},
}};

/// Expected requests of a step relative to the needed ones.
inline constexpr double kSampleMargin = 1.5;

/// Shortest step: several reports and looks of the judge, and a lost one.
inline constexpr std::chrono::seconds kShortestStep{30};

/// The last step ends this long before the target time, so that a late report
/// or one lost write does not make the rollout late.
inline constexpr std::chrono::seconds kFinishMargin{10};

/// After the last step the new version is compared with the old version's
/// recorded baseline for this time.
inline constexpr std::chrono::minutes kObservePeriod{30};

/// @brief Schedule of a rollout.
struct RolloutPlan {
  std::string id_;
  std::string old_version_;
  std::string new_version_;
  std::string pool_;
  std::vector<std::string> routes_;
  WallTime start_;
  WallTime target_;
  std::vector<PlannedStep> steps_;  ///< In order of rising share.
};

/// @brief Earliest target time for which every step can be judged.
[[nodiscard]] WallTime EarliestTarget(const RolloutRequest& request,
                                      WallTime now);

/// @brief Plans the steps backwards from the target time.
///
/// Fails when a name is missing, a route has no traffic, or the target is
/// nearer than the earliest feasible time, which the error names.
[[nodiscard]] Result<RolloutPlan> PlanRollout(const RolloutRequest& request,
                                              WallTime now);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROLLOUT_ROLLOUT_PLAN_H_
