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

VersionComparison Evidence(const std::string& version,
                           VersionOutcomes target,
                           VersionOutcomes present) {
  VersionComparison evidence;
  evidence.order_ = MakeOrder(version);
  evidence.target_ = target;
  evidence.current_ = present;
  return evidence;
}

// Pattern: 30 daemons each see one or two answers of the target version. Guards
// against a bad version that no daemon sees often enough to judge.
TEST_CASE("the sum of many daemons shows a bad version early", "[rollout]") {
  FleetComparison fleet;
  int bad_answers = 0;
  while (!AggregateEvidence(fleet, MakeOrder("v2")).is_bad_) {
    const auto evidence = Evidence("v2", {2, 1}, {40, 1});
    CHECK_FALSE(IsClearlyWorse(evidence));
    RecordEvidence(fleet, "vm-" + std::to_string(bad_answers++), evidence);
    REQUIRE(bad_answers < 30);
  }
  CHECK(bad_answers <= 10);
}

// Guards against a good version that is rolled back for the sum of the pauses
// that every version has.
TEST_CASE("the sum of many daemons does not blame a good version",
          "[rollout]") {
  FleetComparison fleet;
  for (int i = 0; i < 60; ++i) {
    const int64_t bad = i % 8 == 0 ? 1 : 0;
    RecordEvidence(fleet, "vm-" + std::to_string(i),
                   Evidence("v2", {3, bad}, {60, 3}));
  }
  CHECK_FALSE(AggregateEvidence(fleet, MakeOrder("v2")).is_bad_);
}

// Guards against evidence that counts twice or for another order.
TEST_CASE("the latest evidence of a daemon about this order counts",
          "[rollout]") {
  FleetComparison fleet;
  RecordEvidence(fleet, "vm-1", Evidence("v2", {5, 2}, {50, 1}));
  RecordEvidence(fleet, "vm-1", Evidence("v2", {6, 2}, {60, 1}));
  RecordEvidence(fleet, "vm-2", Evidence("v1", {90, 90}, {10, 0}));
  const VersionComparison sum = AggregateEvidence(fleet, MakeOrder("v2"));
  CHECK(sum.target_.attempts_ == 6);
  CHECK(sum.target_.bad_ == 2);
  CHECK(sum.current_.attempts_ == 60);
  CHECK_FALSE(sum.is_bad_);
}

}  // namespace
}  // namespace clementinerill::traffic
