#ifndef CLEMENTINERILL_ROLLOUT_ROLLOUT_MACHINE_H_
#define CLEMENTINERILL_ROLLOUT_ROLLOUT_MACHINE_H_

#include <optional>
#include <vector>

#include "base/result.h"
#include "rollout/rollout_plan.h"
#include "rollout/rollout_state.h"
#include "rollout/verdict.h"

namespace clementinerill {

/// @brief Returns the initial state of a planned rollout.
///
/// `latest` is the state document of the pool's latest rollout, if any. Fails
/// while that rollout is running, or if it has the same id as `plan`.
[[nodiscard]] Result<RolloutState> StartRollout(
    const std::optional<RolloutState>& latest,
    const RolloutPlan& plan,
    WallTime now);

/// @brief Rolls back on behalf of an operator or of a daemon's
/// `DetectClearFault`.
///
/// Fails if the rollout was already rolled back, or if it is done and its
/// observation period has passed.
[[nodiscard]] Result<RolloutState> StopRollout(const RolloutState& state,
                                               StopReason reason,
                                               const std::string& route,
                                               WallTime now);

/// @brief Returns the state after a verdict, or `state` if nothing changes.
///
/// A verdict on another generation is ignored, so that a judge that resumes
/// after a pause can neither repeat nor skip a step. A step ends at its planned
/// time at the earliest, after at least `kShortestStep`, and only with enough
/// requests. Without enough requests the share stays unchanged, and at the
/// target time the rollout is rolled back with `kTooFewSamples`: the traffic of
/// a version is never increased without a verdict. `counts` are the counts that
/// were judged; those of the old version become the baseline when the last step
/// starts.
[[nodiscard]] RolloutState NextState(const RolloutPlan& plan,
                                     const RolloutState& state,
                                     const Verdict& verdict,
                                     WallTime now,
                                     const std::vector<RouteCounts>& counts);

/// @brief Whether the rollout must still be judged: it is running, or done and
/// within `kObservePeriod`.
[[nodiscard]] bool IsObserved(const RolloutState& state, WallTime now) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROLLOUT_ROLLOUT_MACHINE_H_
