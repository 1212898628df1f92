#include <catch2/catch.hpp>

#include "traffic/fleet_fixture.h"

namespace clementinerill::traffic {
namespace {

// Guards against a replica that gets requests for one reason although another
// one forbids them, and against a status that names the weaker reason.
TEST_CASE("the strictest standing counts", "[standing]") {
  TrafficView view;
  ReplicaState replica;
  replica.entry_.failure_domain_ = "a";
  const auto standing = [&](Duration at) {
    return EligibilityOf(view, replica, At(at));
  };
  CHECK(standing({}) == ReplicaEligibility::kUsable);
  replica.slowness_ = 8;
  CHECK(standing({}) == ReplicaEligibility::kOnProbation);
  replica.entry_.leaving_since_ = At({});
  CHECK(standing(seconds(1)) == ReplicaEligibility::kLeaving);
  CHECK(standing(kLeavingGrace) == ReplicaEligibility::kGone);
  RecordOutcome(replica, AttemptOutcome::kBroken, At({}), {}, At({}));
  RecordOutcome(replica, AttemptOutcome::kBroken, At({}), {}, At({}));
  CHECK(standing(milliseconds(10)) == ReplicaEligibility::kEjected);
  view.evacuated_.insert("a");
  CHECK(standing(milliseconds(10)) == ReplicaEligibility::kEvacuated);
  replica.misdirected_ = true;
  CHECK(standing(milliseconds(10)) == ReplicaEligibility::kMisdirected);
}

// Guards against a name that is missing from the table of names.
TEST_CASE("each standing has a name and says whether requests may go there",
          "[standing]") {
  int usable = 0;
  for (const auto& entry : kReplicaEligibilityNames) {
    usable += MayGetRequests(entry.value_) ? 1 : 0;
    CHECK(NameOf(kReplicaEligibilityNames, entry.value_) == entry.name_);
  }
  CHECK(usable == 3);
}

}  // namespace
}  // namespace clementinerill::traffic
