#ifndef CLEMENTINERILL_ROLLOUT_ROLLOUT_COMPARISON_H_
#define CLEMENTINERILL_ROLLOUT_ROLLOUT_COMPARISON_H_

#include <vector>

#include "rollout/rollout_plan.h"
#include "rollout/rollout_state.h"
#include "rollout/route_counts.h"
#include "rollout/verdict.h"

namespace clementinerill {

/// @brief Whether the old version gets no requests, so that its recorded
/// baseline stands for it.
[[nodiscard]] bool UsesBaseline(const RolloutPlan& plan,
                                const RolloutState& state) noexcept;

/// @brief `counts` with the recorded baseline as old version where the old
/// version gets no requests; otherwise `counts` as they are.
[[nodiscard]] std::vector<RouteCounts> WithBaseline(
    const RolloutPlan& plan,
    const RolloutState& state,
    std::vector<RouteCounts> counts);

/// @brief Judges the counts gathered since `state.since_`.
///
/// Calls `Judge` with the requests that the step needs and the tolerance that
/// fits the comparison. A route of the plan without counts is held.
[[nodiscard]] Verdict JudgeStep(const RolloutPlan& plan,
                                const RolloutState& state,
                                const std::vector<RouteCounts>& counts);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROLLOUT_ROLLOUT_COMPARISON_H_
