#ifndef CLEMENTINERILL_ROLLOUT_ROLLOUT_COMPARISON_H_
#define CLEMENTINERILL_ROLLOUT_ROLLOUT_COMPARISON_H_

#include <vector>

#include "rollout/rollout_plan.h"
#include "rollout/rollout_state.h"
#include "rollout/route_counts.h"
#include "rollout/verdict.h"

namespace clementinerill {

/// @brief Whether the old version gets no requests, so that its recorded
/// baseline is compared instead.
[[nodiscard]] bool UsesBaseline(const RolloutPlan& plan,
                                const RolloutState& state) noexcept;

/// @brief Returns `counts`, with the old version's counts replaced by the
/// recorded baseline if `UsesBaseline`.
[[nodiscard]] std::vector<RouteCounts> WithBaseline(
    const RolloutPlan& plan,
    const RolloutState& state,
    std::vector<RouteCounts> counts);

/// @brief Judges the counts gathered since `state.since_`.
///
/// Calls `Judge` with the number of requests that the step needs and with
/// `kBaselineTolerance` if `UsesBaseline`, else the default tolerance. A route
/// of the plan without counts is judged as having no requests.
[[nodiscard]] Verdict JudgeStep(const RolloutPlan& plan,
                                const RolloutState& state,
                                const std::vector<RouteCounts>& counts);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROLLOUT_ROLLOUT_COMPARISON_H_
