#include "rollout/rollout_machine.h"

#include <chrono>

#include "property.h"
#include "rollout/rollout_comparison.h"

namespace clementinerill {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

const WallTime kNow{seconds(1796376956)};

RolloutPlan Plan(const char* id = "r1") {
  return *PlanRollout(
      {id, "v1", "v2", "claims", {{"search", 500}}, kNow + minutes(20)}, kNow);
}

// Simulated store of one object with conditional writes.
struct Store {
  RolloutState state_;
  int version_ = 1;
  std::vector<RolloutState> history_;

  bool Put(const RolloutState& state, int expected) {
    if (expected != version_) {
      return false;
    }
    state_ = state;
    ++version_;
    history_.push_back(state);
    return true;
  }
};

// Judge that can be paused between any two of its actions.
struct PausingJudge {
  RolloutState read_;
  int version_ = 0;
  Verdict verdict_;
  bool has_verdict_ = false;

  void Act(Store& store, const RolloutPlan& plan, int action, WallTime now) {
    if (action == 0) {
      read_ = store.state_;
      version_ = store.version_;
    } else if (action == 1) {
      verdict_ = {VerdictKind::kContinue, StopReason::kNone, "",
                  read_.generation_};
      has_verdict_ = true;
    } else if (has_verdict_ && version_ > 0) {
      const auto next = NextState(plan, read_, verdict_, now, {});
      if (next.generation_ != read_.generation_) {
        const bool written = store.Put(next, version_);
        // If the response to a successful write is lost, the judge keeps its
        // old copy; it repeats the write and gets a conflict.
        if (written && action == 2) {
          read_ = next;
          version_ = store.version_;
        }
      }
    }
  }
};

// Guards against concurrent judges, lost responses or pauses that cause a step
// to be repeated, skipped or ended early, or that undo an operator's stop.
TEST_CASE("two concurrent judges advance one step at a time", "[rollout]") {
  CheckProperty(4, 300, [] {
    const auto plan = Plan();
    Store store;
    store.state_ = *StartRollout({}, plan, kNow);
    store.history_.push_back(store.state_);
    PausingJudge judges[2];
    WallTime now = kNow;
    const int stop_at = *rc::gen::inRange(0, 6000);
    bool stopped = false;
    for (const int event :
         *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 40))) {
      judges[event % 2].Act(store, plan, event / 2 % 4, now);
      now += seconds(event);
      if (!stopped && now > kNow + seconds(stop_at)) {
        const auto stop =
            StopRollout(store.state_, StopReason::kOperator, "", now);
        stopped = stop && store.Put(*stop, store.version_);
      }
    }
    RC_ASSERT(stopped == (store.state_.status_ == RolloutStatus::kRolledBack));
    for (size_t i = 1; i < store.history_.size(); ++i) {
      const auto& before = store.history_[i - 1];
      const auto& after = store.history_[i];
      RC_ASSERT(after.generation_ == before.generation_ + 1);
      if (after.status_ == RolloutStatus::kRolledBack) {
        continue;
      }
      RC_ASSERT(before.status_ == RolloutStatus::kRunning);
      RC_ASSERT(after.step_ == before.step_ + 1 ||
                after.status_ == RolloutStatus::kDone);
      RC_ASSERT(after.since_ >= plan.steps_[before.step_].until_);
      RC_ASSERT(after.since_ >= before.since_ + kShortestStep);
    }
  });
}

// Guards against a judge that resumes after a pause and ends the current step
// with its verdict on an earlier one.
TEST_CASE("a verdict on another generation is ignored", "[rollout]") {
  const auto plan = Plan();
  const auto state = *StartRollout({}, plan, kNow);
  const Verdict stale{VerdictKind::kContinue, StopReason::kNone, "", 0};
  const auto later = kNow + minutes(19);
  CHECK(NextState(plan, state, stale, later, {}).generation_ == 1);
  const Verdict valid{VerdictKind::kContinue, StopReason::kNone, "", 1};
  CHECK(NextState(plan, state, valid, later, {}).share_ == 500);
}

// Guards against a share that is increased without enough samples for a
// verdict.
TEST_CASE("a step without samples is held, then rolled back at the target time",
          "[rollout]") {
  const auto plan = Plan();
  const auto state = *StartRollout({}, plan, kNow);
  const auto verdict = JudgeStep(plan, state, {});
  CHECK(verdict.kind_ == VerdictKind::kHold);
  CHECK(verdict.route_ == "search");
  const auto held =
      NextState(plan, state, verdict, plan.target_ - seconds(1), {});
  CHECK(held.generation_ == state.generation_);
  const auto ended = NextState(plan, state, verdict, plan.target_, {});
  CHECK(ended.status_ == RolloutStatus::kRolledBack);
  CHECK(ended.reason_ == StopReason::kTooFewSamples);
  CHECK(ended.share_ == 0);
}

// Guards against an undetected fault that first appears after the last step,
// and against a false stop when the error rate differs slightly over the day.
TEST_CASE("a completed rollout is compared with its baseline", "[rollout]") {
  const auto plan = Plan();
  auto state = *StartRollout({}, plan, kNow);
  std::vector<RouteCounts> counts(1);
  counts[0].route_ = "search";
  counts[0].old_.requests_ = 5000;
  counts[0].old_.parts_ = 5000;
  counts[0].old_.latency_ = {5000};
  counts[0].new_ = counts[0].old_;
  for (const auto& step : plan.steps_) {
    CHECK(state.status_ == RolloutStatus::kRunning);
    const auto verdict = JudgeStep(plan, state, counts);
    state = NextState(plan, state, verdict, step.until_, counts);
  }
  CHECK(state.status_ == RolloutStatus::kDone);
  CHECK(state.since_ <= plan.target_);

  counts[0].old_ = {};
  counts[0].new_.failures_ = 100;
  CHECK(JudgeStep(plan, state, counts).kind_ == VerdictKind::kContinue);
  counts[0].new_.failures_ = 500;
  const auto verdict = JudgeStep(plan, state, counts);
  const auto stopped =
      NextState(plan, state, verdict, state.since_ + minutes(29), counts);
  CHECK(stopped.status_ == RolloutStatus::kRolledBack);
  CHECK(stopped.reason_ == StopReason::kErrorRate);
  const auto kept =
      NextState(plan, state, verdict, state.since_ + minutes(30), counts);
  CHECK(kept.status_ == RolloutStatus::kDone);

  const auto late =
      StopRollout(state, StopReason::kOperator, "", state.since_ + minutes(30));
  REQUIRE_FALSE(late);
  CHECK(late.error().description_.find(
            "'r1' left its observation period at 2026-12-04T") == 8);
}

// Guards against conflicting operator commands that are accepted without an
// error.
TEST_CASE("conflicting operator commands are rejected", "[rollout]") {
  const auto running = *StartRollout({}, Plan(), kNow);
  const auto second = StartRollout(running, Plan("r2"), kNow);
  REQUIRE_FALSE(second);
  CHECK(second.error().description_ ==
        "rollout 'r1' is running; stop it or wait until it is done");

  const auto stopped = *StopRollout(running, StopReason::kOperator, "", kNow);
  CHECK(stopped.share_ == 0);
  const auto again = StopRollout(stopped, StopReason::kOperator, "", kNow);
  REQUIRE_FALSE(again);
  CHECK(again.error().description_ ==
        "rollout 'r1' was already rolled back at 2026-12-04T09:35:56Z, reason "
        "operator");
  CHECK_FALSE(StartRollout(stopped, Plan(), kNow));
  const auto next = StartRollout(stopped, Plan("r2"), kNow);
  REQUIRE(next);
  CHECK(next->generation_ == 3);
}

}  // namespace
}  // namespace clementinerill
