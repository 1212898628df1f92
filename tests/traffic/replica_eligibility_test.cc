#include <catch2/catch.hpp>

#include "traffic/fleet_fixture.h"

namespace clementinerill::traffic {
namespace {

// Guards against requests to a replica that one state permits although another
// forbids them, and against a status page that shows the less strict state.
TEST_CASE("the strictest eligibility state applies", "[standing]") {
  TrafficView view;
  ReplicaState replica;
  replica.entry_.failure_domain_ = "a";
  const auto eligibility = [&](Duration at) {
    return EligibilityOf(view, replica, At(at));
  };
  CHECK(eligibility({}) == ReplicaEligibility::kUsable);
  replica.slowness_ = 8;
  CHECK(eligibility({}) == ReplicaEligibility::kOnProbation);
  replica.entry_.leaving_since_ = At({});
  CHECK(eligibility(seconds(1)) == ReplicaEligibility::kLeaving);
  CHECK(eligibility(kLeavingGrace) == ReplicaEligibility::kGone);
  replica.entry_.leaving_since_.reset();
  replica.departure_reported_at_ = At({});
  CHECK(eligibility(seconds(1)) == ReplicaEligibility::kLeaving);
  CHECK(eligibility(kLeavingGrace) == ReplicaEligibility::kGone);
  RecordOutcome(replica, AttemptOutcome::kBroken, At({}), {}, At({}));
  RecordOutcome(replica, AttemptOutcome::kBroken, At({}), {}, At({}));
  CHECK(eligibility(milliseconds(10)) == ReplicaEligibility::kEjected);
  view.evacuated_.insert("a");
  CHECK(eligibility(milliseconds(10)) == ReplicaEligibility::kEvacuated);
  replica.misdirected_ = true;
  CHECK(eligibility(milliseconds(10)) == ReplicaEligibility::kMisdirected);
}

// Guards against a state that is missing from the table of names.
TEST_CASE("each eligibility state has a name and permits or forbids requests",
          "[standing]") {
  int usable = 0;
  for (const auto& entry : kReplicaEligibilityNames) {
    usable += MayReceiveRequests(entry.value_) ? 1 : 0;
    CHECK(NameOf(kReplicaEligibilityNames, entry.value_) == entry.name_);
  }
  CHECK(usable == 3);
}

}  // namespace
}  // namespace clementinerill::traffic
