#include <catch2/catch.hpp>

#include "traffic/fleet_fixture.h"

namespace clementinerill::traffic {
namespace {

/// A sweep over four shards of which three must answer, and a choice for each.
struct Sweep {
  Sweep() : fleet_({MakeSweepRoute(4)}), choices_(4) {
    const auto& routes = fleet_.state_.view_->configuration_->routes_;
    query_ = StartQuery(fleet_.state_, routes.begin()->second.front(), "id",
                        seconds(1), At({}));
    for (size_t i = 0; i < choices_.size(); ++i) {
      choices_[i].replica_ = query_.parts_[i].service_->replicas_[0];
      choices_[i].expected_ = milliseconds(15);
    }
  }

  size_t CountSkipped() {
    SkipOverloadedParts(query_, choices_, At({}));
    return CountParts(query_, PartState::kSkipped);
  }

  Fleet fleet_;
  std::vector<ReplicaChoice> choices_;
  Query query_;
};

// Guards against incomplete answers without need.
TEST_CASE("no part is skipped while all are expected in time", "[skip]") {
  Sweep sweep;
  sweep.choices_[2].expected_ = milliseconds(80);
  CHECK(sweep.CountSkipped() == 0);
}

// Guards against answers below the least coverage, and against a sweep that
// waits for the longest queue.
TEST_CASE("the slowest part is skipped, and no more than can be spared",
          "[skip]") {
  Sweep sweep;
  sweep.choices_[1].expected_ = milliseconds(300);
  sweep.choices_[2].expected_ = milliseconds(400);
  sweep.choices_[3].expected_ = milliseconds(200);
  CHECK(sweep.CountSkipped() == 1);
  CHECK(sweep.query_.parts_[2].state_ == PartState::kSkipped);
}

// Guards against a sweep that gives away the part that it can spare and then
// fails for a replica that was known to refuse.
TEST_CASE("nothing is skipped when another part is expected to fail",
          "[skip]") {
  Sweep sweep;
  sweep.choices_[1].expected_ = milliseconds(300);
  sweep.choices_[2].failure_chance_ = 0.6;
  CHECK(sweep.CountSkipped() == 0);
}

// Guards against skipping the only service of a request.
TEST_CASE("a request to one service is never skipped", "[skip]") {
  Fleet fleet({MakeSingleRoute(RequestKind::kIdempotent)});
  Query query =
      StartQuery(fleet.state_, fleet.Route("docket.example", "/case/"), "id",
                 seconds(1), At({}));
  ReplicaChoice choice;
  choice.replica_ = query.parts_[0].service_->replicas_[0];
  choice.expected_ = seconds(10);
  SkipOverloadedParts(query, {choice}, At({}));
  CHECK(CountParts(query, PartState::kSkipped) == 0);
}

}  // namespace
}  // namespace clementinerill::traffic
