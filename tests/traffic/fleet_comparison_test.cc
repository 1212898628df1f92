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
  order.ordered_ = At({});
  return order;
}

VersionComparison MakeEvidence(const std::string& version,
                               VersionOutcomes target,
                               VersionOutcomes current) {
  VersionComparison evidence;
  evidence.order_ = MakeOrder(version);
  evidence.target_attempts_ = target.judged_;
  evidence.current_attempts_ = current.judged_;
  evidence.routes_["r"][3] = {target, current};
  return evidence;
}

// Each of 30 daemons sees only two responses of the target version. Guards
// against a bad version that no single daemon sees often enough to judge.
TEST_CASE("the sum of many daemons reveals a bad version early", "[rollout]") {
  FleetComparison fleet;
  int bad_responses = 0;
  while (!AggregateEvidence(fleet, MakeOrder("v2")).is_bad_) {
    const auto evidence = MakeEvidence("v2", {2, 1}, {40, 1});
    CHECK(StandingOf(evidence) == VersionStanding::kUndecided);
    RecordEvidence(fleet, "vm-" + std::to_string(bad_responses++), evidence,
                   true, At({}));
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
                   MakeEvidence("v2", {3, bad}, {60, 3}), true, At({}));
  }
  CHECK_FALSE(AggregateEvidence(fleet, MakeOrder("v2")).is_bad_);
}

// Guards against evidence that is counted twice or for another order.
TEST_CASE("only the latest evidence of a process about this order counts",
          "[rollout]") {
  FleetComparison fleet;
  RecordEvidence(fleet, "vm-1", MakeEvidence("v2", {5, 2}, {50, 1}), true,
                 At({}));
  RecordEvidence(fleet, "vm-1", MakeEvidence("v2", {6, 2}, {60, 1}), true,
                 At({}));
  RecordEvidence(fleet, "vm-2", MakeEvidence("v1", {90, 90}, {10, 0}), true,
                 At({}));
  const VersionComparison sum = AggregateEvidence(fleet, MakeOrder("v2"));
  const PeriodOutcomes outcomes = SumOfOutcomes(sum);
  CHECK(sum.daemons_ == 1);
  CHECK(sum.target_attempts_ == 6);
  CHECK(outcomes.target_.bad_ == 2);
  CHECK(outcomes.current_.judged_ == 60);
  CHECK_FALSE(sum.is_bad_);
}

// Guards against the loss of what a daemon saw before it was restarted, and
// against counting a reader twice that reports to another daemon now.
TEST_CASE("evidence of an ended process counts, that of a moved one does not",
          "[rollout]") {
  FleetComparison fleet;
  const auto evidence = MakeEvidence("v2", {4, 1}, {40, 1});
  RecordEvidence(fleet, "ended", evidence, false, At({}));
  RecordEvidence(fleet, "moved reader", evidence, true, At({}));
  VersionComparison sum_of_readers = evidence;
  sum_of_readers.daemons_ = 5;
  RecordEvidence(fleet, "lost watcher", sum_of_readers, false, At({}));
  CHECK(AggregateEvidence(fleet, MakeOrder("v2")).daemons_ == 7);
  CHECK(AggregateDirectEvidence(fleet, MakeOrder("v2")).daemons_ == 1);
  DropOutdatedEvidence(fleet, MakeOrder("v2"), At(seconds(10)));
  CHECK(AggregateEvidence(fleet, MakeOrder("v2")).daemons_ == 1);
  CHECK(fleet.by_process_.count("ended") == 1);
}

// Guards against a daemon that learned of an order late, or was restarted, and
// would judge and complete it late.
TEST_CASE("an order is as old as the first daemon knows it", "[rollout]") {
  FleetComparison fleet;
  RecordEvidence(fleet, "vm-1", MakeEvidence("v2", {4, 1}, {40, 1}), false,
                 At({}));
  RolloutOrder order = MakeOrder("v2");
  order.ordered_ = At(seconds(8));
  CHECK(AggregateEvidence(fleet, order).order_.ordered_ == At({}));
}

}  // namespace
}  // namespace clementinerill::traffic
