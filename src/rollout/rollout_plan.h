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

/// @brief Share, needed requests and fraction of the total duration of a step.
struct StepShape {
  int share_;
  uint64_t needed_requests_;
  double time_fraction_;
};

/// The first two steps take 85% of the time, so that a fault with a delayed
/// onset appears at 5% of the traffic or less, and so that the new version has
/// received less than 5% of all requests when a fault appears at 25% or 50%.
inline constexpr std::array<StepShape, 5> kStepShapes = {{
    {100, 100, 0.40},
    {500, 200, 0.45},
    {2500, 400, 0.05},
    {5000, 400, 0.05},
    {10000, 400, 0.05},
}};

/// Ratio of expected to needed requests of a step.
inline constexpr double kSampleMargin = 1.5;

/// Minimum duration of a step: enough for several reports and evaluations by
/// the judge, even if one is lost.
inline constexpr std::chrono::seconds kShortestStep{30};

/// The last step ends this long before the target time, so that a late report
/// or one lost write does not delay the rollout past its target.
inline constexpr std::chrono::seconds kFinishMargin{10};

/// Time after the last step for which the new version is still compared with
/// the old version's recorded baseline.
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
  std::vector<PlannedStep> steps_;  ///< By increasing share.
};

/// @brief Earliest target time that leaves every step enough requests for a
/// verdict.
[[nodiscard]] WallTime EarliestTarget(const RolloutRequest& request,
                                      WallTime now);

/// @brief Plans the steps backwards from the target time.
///
/// Fails if the id, the pool or a version is missing, the versions are equal,
/// there is no route, a route has no traffic, or the target time is before
/// `EarliestTarget`; the error then contains the earliest feasible time.
[[nodiscard]] Result<RolloutPlan> PlanRollout(const RolloutRequest& request,
                                              WallTime now);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROLLOUT_ROLLOUT_PLAN_H_
