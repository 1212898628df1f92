#include <string>

#include <catch2/catch.hpp>

#include "traffic/fleet_fixture.h"

namespace clementinerill::traffic {
namespace {

RolloutOrder MakeOrder(const std::string& version) {
  RolloutOrder order;
  order.service_ = "docket";
  order.target_version_ = version;
  order.length_ = seconds(20);
  return order;
}

VersionComparison MakeEvidence(const std::string& version,
                               VersionOutcomes target,
                               VersionOutcomes current) {
  VersionComparison evidence;
  evidence.order_ = MakeOrder(version);
  evidence.target_ = target;
  evidence.current_ = current;
  return evidence;
}

// Each of 30 daemons sees only two responses of the target version. Guards
// against a bad version that no single daemon sees often enough to judge.
TEST_CASE("the sum of many daemons reveals a bad version early", "[rollout]") {
  FleetComparison fleet;
  int bad_responses = 0;
  while (!AggregateEvidence(fleet, MakeOrder("v2")).is_bad_) {
    const auto evidence = MakeEvidence("v2", {2, 1}, {40, 1});
    CHECK_FALSE(IsClearlyWorse(evidence));
    RecordEvidence(fleet, "vm-" + std::to_string(bad_responses++), evidence);
    REQUIRE(bad_responses < 30);
  }
  CHECK(bad_responses <= 10);
}

// Guards against rolling back a good version because of the sum of pauses,
// which occur with every version.
TEST_CASE("the sum of many daemons does not reject a good version",
          "[rollout]") {
  FleetComparison fleet;
  for (int i = 0; i < 60; ++i) {
    const int64_t bad = i % 8 == 0 ? 1 : 0;
    RecordEvidence(fleet, "vm-" + std::to_string(i),
                   MakeEvidence("v2", {3, bad}, {60, 3}));
  }
  CHECK_FALSE(AggregateEvidence(fleet, MakeOrder("v2")).is_bad_);
}

// Guards against evidence that is counted twice or for another order.
TEST_CASE("only the latest evidence of a daemon about this order counts",
          "[rollout]") {
  FleetComparison fleet;
  RecordEvidence(fleet, "vm-1", MakeEvidence("v2", {5, 2}, {50, 1}));
  RecordEvidence(fleet, "vm-1", MakeEvidence("v2", {6, 2}, {60, 1}));
  RecordEvidence(fleet, "vm-2", MakeEvidence("v1", {90, 90}, {10, 0}));
  const VersionComparison sum = AggregateEvidence(fleet, MakeOrder("v2"));
  CHECK(sum.target_.attempts_ == 6);
  CHECK(sum.target_.bad_ == 2);
  CHECK(sum.current_.attempts_ == 60);
  CHECK_FALSE(sum.is_bad_);
}

}  // namespace
}  // namespace clementinerill::traffic
