#include "rollout/rollout_plan.h"

#include <chrono>

#include "property.h"

namespace clementinerill {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

const WallTime kNow{seconds(1796376956)};

RolloutRequest Request(double rate, WallTime target) {
  return {"r1",  "v1", "v2", "claims", {{"search", 500}, {"find", rate}},
          target};
}

// Guards against a schedule that ends after the target time, or whose steps are
// too short to collect enough samples on the route with the least traffic.
TEST_CASE("steps are planned backwards from the target", "[rollout]") {
  CheckProperty(3, 300, [] {
    const double rate = *rc::gen::inRange(1, 1000);
    auto request = Request(rate, kNow);
    const auto spare = seconds(*rc::gen::inRange(0, 100000));
    request.target_ = EarliestTarget(request, kNow) + spare;
    const auto plan = PlanRollout(request, kNow);
    RC_ASSERT(plan);
    RC_ASSERT(plan->steps_.back().until_ + kFinishMargin == request.target_);
    WallTime step_start = kNow;
    double new_seconds = 0;
    for (const auto& step : plan->steps_) {
      const double step_seconds =
          std::chrono::duration<double>(step.until_ - step_start).count();
      RC_ASSERT(step_seconds > 29.9);
      RC_ASSERT(step_seconds * rate * step.share_ / 10000 >
                1.49 * static_cast<double>(step.needed_requests_));
      const double elapsed =
          std::chrono::duration<double>(step_start - kNow).count();
      RC_ASSERT(step.share_ == 10000 || new_seconds <= 0.05 * elapsed);
      new_seconds += step_seconds * step.share_ / 10000;
      step_start = step.until_;
    }
  });
}

// Guards against an error message that doesn't tell the operator which target
// time is feasible.
TEST_CASE("the error for an infeasible target names the earliest one",
          "[rollout]") {
  const auto near = PlanRollout(Request(500, kNow + minutes(5)), kNow);
  REQUIRE_FALSE(near);
  CHECK(near.error().description_ ==
        "target time 2026-12-04T09:40:56Z is too near to judge every step; "
        "the earliest feasible is 2026-12-04T09:46:06Z");
  CHECK(PlanRollout(Request(500, kNow + seconds(610)), kNow));
  CHECK_FALSE(PlanRollout(Request(500, kNow + seconds(609)), kNow));
  CHECK_FALSE(PlanRollout(Request(0, kNow + minutes(500)), kNow));
}

}  // namespace
}  // namespace clementinerill
