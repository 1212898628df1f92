#include "rollout/rollout_machine.h"

#include <utility>

namespace clementinerill {

namespace {

RolloutState RollBack(RolloutState state,
                      StopReason reason,
                      const std::string& route,
                      WallTime now) {
  state.status_ = RolloutStatus::kRolledBack;
  state.share_ = 0;
  state.reason_ = reason;
  state.route_ = route;
  state.since_ = now;
  ++state.generation_;
  return state;
}

bool IsLastStep(const RolloutPlan& plan, const RolloutState& state) noexcept {
  return state.step_ + 1 >= plan.steps_.size();
}

std::vector<RouteCounts> ExtractBaseline(
    const std::vector<RouteCounts>& counts) {
  std::vector<RouteCounts> baseline = counts;
  for (auto& route : baseline) {
    route.new_ = VersionCounts{};
  }
  return baseline;
}

RolloutState CompleteStep(const RolloutPlan& plan,
                          RolloutState state,
                          WallTime now,
                          const std::vector<RouteCounts>& counts) {
  state.since_ = now;
  ++state.generation_;
  if (IsLastStep(plan, state)) {
    state.status_ = RolloutStatus::kDone;
    return state;
  }
  ++state.step_;
  state.share_ = plan.steps_[state.step_].share_;
  if (IsLastStep(plan, state)) {
    state.baseline_ = ExtractBaseline(counts);
  }
  return state;
}

}  // namespace

Result<RolloutState> StartRollout(const std::optional<RolloutState>& latest,
                                  const RolloutPlan& plan,
                                  WallTime now) {
  if (latest && latest->status_ == RolloutStatus::kRunning) {
    return Fail("rollout '" + latest->rollout_id_ +
                "' is running; stop it or wait until it is done");
  }
  if (latest && latest->rollout_id_ == plan.id_) {
    return Fail("rollout id '" + plan.id_ + "' was used before");
  }
  RolloutState state;
  state.rollout_id_ = plan.id_;
  state.share_ = plan.steps_[0].share_;
  state.generation_ = latest ? latest->generation_ + 1 : 1;
  state.since_ = now;
  return state;
}

Result<RolloutState> StopRollout(const RolloutState& state,
                                 StopReason reason,
                                 const std::string& route,
                                 WallTime now) {
  if (state.status_ == RolloutStatus::kRolledBack) {
    return Fail("rollout '" + state.rollout_id_ +
                "' was already rolled back at " + Format(state.since_) +
                ", reason " +
                std::string(NameOf(kStopReasonNames, state.reason_)));
  }
  if (!IsObserved(state, now)) {
    return Fail("rollout '" + state.rollout_id_ +
                "' left its observation period at " +
                Format(state.since_ + kObservePeriod) +
                "; start a rollout to the old version instead");
  }
  return RollBack(state, reason, route, now);
}

RolloutState NextState(const RolloutPlan& plan,
                       const RolloutState& state,
                       const Verdict& verdict,
                       WallTime now,
                       const std::vector<RouteCounts>& counts) {
  if (plan.id_ != state.rollout_id_ ||
      verdict.generation_ != state.generation_ || !IsObserved(state, now)) {
    return state;
  }
  if (verdict.kind_ == VerdictKind::kStop) {
    return RollBack(state, verdict.reason_, verdict.route_, now);
  }
  if (state.status_ == RolloutStatus::kDone) {
    return state;
  }
  if (verdict.kind_ == VerdictKind::kHold) {
    return now < plan.target_ ? state
                              : RollBack(state, StopReason::kTooFewSamples,
                                         verdict.route_, now);
  }
  const bool is_due = now >= plan.steps_[state.step_].until_ &&
                      now >= state.since_ + kShortestStep;
  return is_due ? CompleteStep(plan, state, now, counts) : state;
}

bool IsObserved(const RolloutState& state, WallTime now) noexcept {
  return state.status_ == RolloutStatus::kRunning ||
         (state.status_ == RolloutStatus::kDone &&
          now < state.since_ + kObservePeriod);
}

}  // namespace clementinerill
