#ifndef CLEMENTINERILL_ROLLOUT_ROLLOUT_MACHINE_H_
#define CLEMENTINERILL_ROLLOUT_ROLLOUT_MACHINE_H_

#include <optional>
#include <vector>

#include "base/result.h"
#include "rollout/rollout_plan.h"
#include "rollout/rollout_state.h"
#include "rollout/verdict.h"

namespace clementinerill {

/// @brief First state of a planned rollout.
///
/// `present` is the document of the pool's latest rollout, if any. Fails while
/// that one is running, and when the id was used before.
[[nodiscard]] Result<RolloutState> StartRollout(
    const std::optional<RolloutState>& present,
    const RolloutPlan& plan,
    WallTime now);

/// @brief Rolls back on behalf of an operator or of a daemon's `ClearFault`.
///
/// Fails when the rollout was rolled back before, or is done and past its
/// observation period.
[[nodiscard]] Result<RolloutState> StopRollout(const RolloutState& state,
                                               StopReason reason,
                                               const std::string& route,
                                               WallTime now);

/// @brief State after a verdict; equal to `state` when nothing changes.
///
/// A verdict on another generation is ignored, so that a judge that resumes
/// after a pause can neither repeat nor skip a step. A step ends at its planned
/// time at the earliest, after `kShortestStep`, and with enough requests.
/// Without enough requests the share stays, and at the target time the rollout
/// is rolled back with `kTooFewSamples`: a version that was not judged gets no
/// more traffic than before. `counts` are those that were judged; the old
/// version's become the baseline when the last step starts.
[[nodiscard]] RolloutState NextState(const RolloutPlan& plan,
                                     const RolloutState& state,
                                     const Verdict& verdict,
                                     WallTime now,
                                     const std::vector<RouteCounts>& counts);

/// @brief Whether the rollout still needs a judge.
[[nodiscard]] bool IsObserved(const RolloutState& state, WallTime now) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROLLOUT_ROLLOUT_MACHINE_H_
