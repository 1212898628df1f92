#include <string>

#include <catch2/catch.hpp>

#include "traffic/fleet_fixture.h"

namespace clementinerill::traffic {
namespace {

void ReportPause(Fleet& fleet, size_t replica, Duration pause, Instant now) {
  ReplicaReport report;
  report.pause_ = pause;
  RecordReport(fleet.state_, fleet.Replica("docket", replica), report, now);
}

std::string ChosenAt(Fleet& fleet, Duration at) {
  ReplicaCriteria criteria;
  criteria.route_ = &fleet.Route("docket.example", "/case/1");
  const auto choice = ChooseReplica(
      fleet.state_, *FindService(fleet.state_, "docket"), criteria, At(at));
  return choice.replica_ ? choice.replica_->entry_.id_ : "none";
}

// Guards against requests during a pause because a shorter one was named later,
// or after its end.
TEST_CASE("a pause lasts until the end of the longest one", "[pause]") {
  Fleet fleet({MakeSingleRoute(RequestKind::kIdempotent)}, 9);
  ReportPause(fleet, 0, seconds(3), At({}));
  ReportPause(fleet, 0, milliseconds(200), At(seconds(1)));
  for (int t = 0; t < 3000; t += 10) {
    CHECK(ChosenAt(fleet, milliseconds(t)) != "docket-a");
  }
  int used = 0;
  for (int t = 3000; t < 3030; t += 10) {
    used += ChosenAt(fleet, milliseconds(t)) == "docket-a" ? 1 : 0;
  }
  CHECK(used > 0);
}

// Guards against requests that wait for the end of a pause until their
// deadline.
TEST_CASE("a request is refused at once while all replicas pause",
          "[pause][load]") {
  Fleet fleet({MakeSingleRoute(RequestKind::kIdempotent)}, 9);
  for (size_t i = 0; i < 3; ++i) {
    ReportPause(fleet, i, seconds(2), At({}));
  }
  Query query =
      StartQuery(fleet.state_, fleet.Route("docket.example", "/case/1"), "id",
                 seconds(1), At({}));
  CHECK(Advance(fleet.state_, query, At({})).empty());
  CHECK(query.outcome_ == QueryOutcome::kRefused);
}

}  // namespace
}  // namespace clementinerill::traffic
