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
    return StandingOf(view, replica, At(at));
  };
  CHECK(standing({}) == ReplicaStanding::kUsable);
  replica.slowness_ = 8;
  CHECK(standing({}) == ReplicaStanding::kOnProbation);
  replica.entry_.leaving_since_ = At({});
  CHECK(standing(seconds(1)) == ReplicaStanding::kLeaving);
  CHECK(standing(kLeavingGrace) == ReplicaStanding::kGone);
  RecordOutcome(replica, AttemptOutcome::kBroken, At({}), {}, At({}));
  RecordOutcome(replica, AttemptOutcome::kBroken, At({}), {}, At({}));
  CHECK(standing(milliseconds(10)) == ReplicaStanding::kAvoided);
  view.evacuated_.insert("a");
  CHECK(standing(milliseconds(10)) == ReplicaStanding::kEvacuated);
  replica.misdirected_ = true;
  CHECK(standing(milliseconds(10)) == ReplicaStanding::kMisdirected);
}

// Guards against a name that is missing from the table of names.
TEST_CASE("each standing has a name and says whether requests may go there",
          "[standing]") {
  int usable = 0;
  for (const auto& entry : kReplicaStandingNames) {
    usable += MayGetRequests(entry.value_) ? 1 : 0;
    CHECK(NameOf(kReplicaStandingNames, entry.value_) == entry.name_);
  }
  CHECK(usable == 3);
}

}  // namespace
}  // namespace clementinerill::traffic
