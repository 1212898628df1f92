#include <catch2/catch.hpp>

#include "traffic/fleet_fixture.h"

namespace clementinerill::traffic {
namespace {

/// A fan-out query to four shards, of which three are required, with a replica
/// choice for each.
struct FanOutQuery {
  FanOutQuery() : fleet_({MakeFanOutRoute(4)}), choices_(4) {
    const auto& routes = fleet_.state_.view_->configuration_->routes_;
    query_ = StartQuery(fleet_.state_, routes.begin()->second.front(), "id",
                        seconds(1), At({}));
    for (size_t i = 0; i < choices_.size(); ++i) {
      choices_[i].replica_ = query_.parts_[i].service_->replicas_[0];
      choices_[i].expected_latency_ = milliseconds(15);
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

// Guards against unnecessarily incomplete responses.
TEST_CASE("no part is skipped while all are expected in time", "[skip]") {
  FanOutQuery query;
  query.choices_[2].expected_latency_ = milliseconds(80);
  CHECK(query.CountSkipped() == 0);
}

// Guards against responses below the minimum coverage, and against a fan-out
// query that waits for the longest queue.
TEST_CASE("the slowest part is skipped and no required part", "[skip]") {
  FanOutQuery query;
  query.choices_[1].expected_latency_ = milliseconds(300);
  query.choices_[2].expected_latency_ = milliseconds(400);
  query.choices_[3].expected_latency_ = milliseconds(200);
  CHECK(query.CountSkipped() == 1);
  CHECK(query.query_.parts_[2].state_ == PartState::kSkipped);
}

// Guards against a fan-out query that skips the only part that is not required
// and then fails because of a replica that was known to refuse.
TEST_CASE("nothing is skipped when another part is expected to fail",
          "[skip]") {
  FanOutQuery query;
  query.choices_[1].expected_latency_ = milliseconds(300);
  query.choices_[2].failure_probability_ = 0.6;
  CHECK(query.CountSkipped() == 0);
}

// Guards against skipping the only service of a request.
TEST_CASE("a request to one service is never skipped", "[skip]") {
  Fleet fleet({MakeSingleRoute(RequestKind::kIdempotent)});
  Query query =
      StartQuery(fleet.state_, fleet.Route("docket.example", "/case/"), "id",
                 seconds(1), At({}));
  ReplicaChoice choice;
  choice.replica_ = query.parts_[0].service_->replicas_[0];
  choice.expected_latency_ = seconds(10);
  SkipOverloadedParts(query, {choice}, At({}));
  CHECK(CountParts(query, PartState::kSkipped) == 0);
}

}  // namespace
}  // namespace clementinerill::traffic
