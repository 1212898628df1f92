#include <set>

#include <catch2/catch.hpp>

#include "traffic/fleet_fixture.h"

namespace clementinerill::traffic {
namespace {

struct SelectionFixture {
  explicit SelectionFixture(int daemons = 1)
      : fleet_({MakeSingleRoute(RequestKind::kIdempotent)}, daemons) {
    criteria_.route_ = &fleet_.Route("docket.example", "/case/");
    criteria_.median_latency_ = milliseconds(15);
  }

  std::string ChosenId(Instant now) {
    const ReplicaChoice choice = ChooseReplica(
        fleet_.state_, *FindService(fleet_.state_, "docket"), criteria_, now);
    return choice.replica_ ? choice.replica_->entry_.id_ : "none";
  }

  Fleet fleet_;
  ReplicaCriteria criteria_;
};

// Guards against unnecessary traffic between failure domains.
TEST_CASE("a replica in the same failure domain is preferred", "[choose]") {
  SelectionFixture fixture;
  for (int i = 0; i < 10; ++i) {
    CHECK(fixture.ChosenId(At(milliseconds(i))) == "docket-a");
  }
}

// Guards against requests that queue at a replica during a pause of 150 ms.
TEST_CASE("a stalled replica is not chosen until it responds again",
          "[choose]") {
  SelectionFixture fixture;
  ReplicaState& local = fixture.fleet_.Replica("docket", 0);
  RecordSend(local, At({}));
  CHECK(fixture.ChosenId(At(milliseconds(10))) == "docket-a");
  CHECK(fixture.ChosenId(At(milliseconds(80))) != "docket-a");
  RecordOutcome(local, AttemptOutcome::kAnswered, At({}), milliseconds(15),
                At(milliseconds(150)));
  CHECK(fixture.ChosenId(At(milliseconds(2000))) == "docket-a");
}

// Guards against new requests to a failure domain that operators evacuated.
TEST_CASE("an evacuated failure domain receives no requests", "[choose]") {
  SelectionFixture fixture;
  auto view = std::make_shared<TrafficView>(*fixture.fleet_.state_.view_);
  view->evacuated_ = {"a", "b"};
  ApplyView(fixture.fleet_.state_, view);
  CHECK(fixture.ChosenId(At({})) == "docket-c");
  view = std::make_shared<TrafficView>(*view);
  view->evacuated_.insert("c");
  ApplyView(fixture.fleet_.state_, view);
  CHECK(fixture.ChosenId(At({})) == "none");
}

// Guards against new requests to a leaving replica while others are available,
// and against an outage when all entries expire at once.
TEST_CASE("a leaving replica is the last choice until its grace period ends",
          "[choose]") {
  SelectionFixture fixture;
  for (size_t i = 0; i < 3; ++i) {
    fixture.fleet_.Replica("docket", i).entry_.leaving_since_ = At({});
  }
  CHECK(fixture.ChosenId(At(seconds(1))) != "none");
  CHECK(fixture.ChosenId(At(kLeavingGrace)) == "none");
  fixture.fleet_.Replica("docket", 2).entry_.leaving_since_.reset();
  CHECK(fixture.ChosenId(At(seconds(1))) == "docket-c");
}

// Guards against all daemons together sending a cold replica more requests than
// its configured rate allows.
TEST_CASE("the rate of a cold replica is divided among the daemons",
          "[choose]") {
  SelectionFixture fixture(4);
  ServiceState& service = *FindService(fixture.fleet_.state_, "docket");
  service.rule_.cold_requests_per_s_ = 10;
  for (const auto& replica : service.replicas_) {
    replica->entry_.cold_until_ = At(seconds(60));
  }
  int sent = 0;
  for (int i = 0; i < 900; ++i) {
    const Instant now = At(milliseconds(i));
    const ReplicaChoice chosen =
        ChooseReplica(fixture.fleet_.state_, service, fixture.criteria_, now);
    if (chosen.replica_) {
      RecordColdSend(service, *chosen.replica_, now);
      ++sent;
    }
  }
  // Three replicas; the limit of each is 10 x 1.5 + 5 over four daemons.
  CHECK(sent > 0);
  CHECK(sent * 4 <= 3 * 20);
}

}  // namespace
}  // namespace clementinerill::traffic
