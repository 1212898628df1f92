#include <catch2/catch.hpp>

#include "gateway/status_page.h"
#include "traffic/fleet_fixture.h"

namespace clementinerill::gateway {
namespace {

// Guards against estimates that operators cannot see, and against values for
// replicas of which nothing is learned.
TEST_CASE("the status of a service shows the estimates", "[status]") {
  using traffic::At;
  traffic::Fleet fleet(
      {traffic::MakeSingleRoute(traffic::RequestKind::kIdempotent)});
  traffic::ReplicaReport report;
  report.load_ = traffic::ReportedLoad{1, 0, 4, 150};
  RecordReport(fleet.state_, fleet.Replica("docket", 0), report, At({}));
  report.load_->pace_.reset();
  RecordReport(fleet.state_, fleet.Replica("docket", 1), report, At({}));
  const auto status = StatusJson(fleet.state_, "docket", At({}));
  const auto& replicas = status["services"]["docket"]["replicas"];
  const auto& capacity = replicas[0]["capacity"];
  CHECK(capacity["pace"] == 1.5);
  CHECK(capacity["lasting_slowness"] == 1.0);
  CHECK(capacity["handled_well"] == 4.0);
  CHECK(capacity["accepted"] == 4.0);
  CHECK(capacity["observations"] == 0.0);
  CHECK(replicas[1]["capacity"].is_null());
}

}  // namespace
}  // namespace clementinerill::gateway
