#include "rollout/rollout_comparison.h"

#include <algorithm>
#include <string>
#include <utility>

#include "rollout/judge.h"

namespace clementinerill {

namespace {

std::vector<RouteCounts>::const_iterator FindRoute(
    const std::vector<RouteCounts>& counts,
    const std::string& route) {
  return std::find_if(
      counts.begin(), counts.end(),
      [&route](const auto& entry) { return entry.route_ == route; });
}

}  // namespace

bool UsesBaseline(const RolloutPlan& plan, const RolloutState& state) noexcept {
  return state.step_ + 1 >= plan.steps_.size();
}

std::vector<RouteCounts> WithBaseline(const RolloutPlan& plan,
                                      const RolloutState& state,
                                      std::vector<RouteCounts> counts) {
  if (!UsesBaseline(plan, state)) {
    return counts;
  }
  for (auto& route : counts) {
    const auto found = FindRoute(state.baseline_, route.route_);
    route.old_ = found != state.baseline_.end() ? found->old_ : VersionCounts{};
  }
  return counts;
}

Verdict JudgeStep(const RolloutPlan& plan,
                  const RolloutState& state,
                  const std::vector<RouteCounts>& counts) {
  std::vector<RouteCounts> complete;
  complete.reserve(plan.routes_.size());
  for (const auto& route : plan.routes_) {
    const auto found = FindRoute(counts, route);
    complete.push_back(found != counts.end() ? *found
                                             : RouteCounts{route, {}, {}});
  }
  return Judge(
      WithBaseline(plan, state, std::move(complete)),
      plan.steps_[state.step_].needed_requests_,
      UsesBaseline(plan, state) ? kBaselineTolerance : JudgeTolerance{},
      state.generation_);
}

}  // namespace clementinerill
