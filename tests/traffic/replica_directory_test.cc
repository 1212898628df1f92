#include <catch2/catch.hpp>

#include "traffic/fleet_fixture.h"

namespace clementinerill::traffic {
namespace {

// Guards against a service without replicas when all entries expire during an
// outage of the store and return after it.
TEST_CASE("an unlisted replica stays known for the grace period",
          "[directory]") {
  ReplicaDirectory directory;
  UpsertReplica(directory, MakeReplica("r1", "s", "a"));
  ReplaceReplicas(directory, {}, At(seconds(1)));
  CHECK_FALSE(EvictDepartedReplicas(directory, kLeavingGrace, At(seconds(2))));
  CHECK(directory.replicas_.at("r1").leaving_since_ == At(seconds(1)));
  UpsertReplica(directory, MakeReplica("r1", "s", "a"));
  CHECK_FALSE(directory.replicas_.at("r1").leaving_since_);
  MarkReplicaUnlisted(directory, "r1", At(seconds(5)));
  CHECK(EvictDepartedReplicas(directory, kLeavingGrace,
                              At(seconds(5)) + kLeavingGrace));
  CHECK(directory.replicas_.empty());
}

// Guards against a grace period that is extended when a replica repeats its
// announcement.
TEST_CASE("the grace period starts at the first announcement", "[directory]") {
  ReplicaDirectory directory;
  ReplicaEntry entry = MakeReplica("r1", "s", "a");
  entry.leaving_since_ = At(seconds(1));
  UpsertReplica(directory, entry);
  entry.leaving_since_ = At(seconds(2));
  UpsertReplica(directory, entry);
  CHECK(directory.replicas_.at("r1").leaving_since_ == At(seconds(1)));
}

// Guards against a second grace period for a leaving replica that changes its
// entry: its last request came 3,027 ms after the announcement (hunt-8a82-31).
TEST_CASE("a leaving replica that is still listed gets no second grace period",
          "[directory]") {
  ReplicaDirectory directory;
  ReplicaEntry entry = MakeReplica("r1", "s", "a");
  entry.leaving_since_ = At(seconds(1));
  UpsertReplica(directory, entry);
  EvictDepartedReplicas(directory, kLeavingGrace, At(seconds(4)));
  entry.leaving_since_ = At(seconds(4));
  UpsertReplica(directory, entry);
  CHECK(directory.replicas_.at("r1").leaving_since_ == At(seconds(1)));
  MarkReplicaUnlisted(directory, "r1", At(seconds(5)));
  CHECK(EvictDepartedReplicas(directory, kLeavingGrace, At(seconds(5))));
}

// Guards against failure counts of an earlier process that are applied to a new
// process with the same id.
TEST_CASE("a restarted replica with the same id has a new state",
          "[directory]") {
  Fleet fleet({MakeSingleRoute(RequestKind::kIdempotent)});
  fleet.Replica("docket", 0).failures_in_row_ = 9;
  auto view = std::make_shared<TrafficView>(*fleet.state_.view_);
  view->replicas_[0].started_unix_ms_ = 2;
  ApplyView(fleet.state_, view);
  CHECK(fleet.Replica("docket", 0).failures_in_row_ == 0);
  fleet.Replica("docket", 1).failures_in_row_ = 9;
  ApplyView(fleet.state_, std::make_shared<TrafficView>(*view));
  CHECK(fleet.Replica("docket", 1).failures_in_row_ == 9);
}

// Guards against requests to a leaving replica after the store has returned
// from a copy made before the announcement.
TEST_CASE("an announced departure is final for the process", "[directory]") {
  ReplicaDirectory directory;
  const ReplicaEntry ready = MakeReplica("r1", "docket", "a");
  ReplicaEntry leaving = ready;
  leaving.leaving_since_ = At(seconds(1));
  UpsertReplica(directory, ready);
  UpsertReplica(directory, leaving);
  ReplaceReplicas(directory, {ready}, At(seconds(3)));
  CHECK(directory.replicas_.at("r1").leaving_since_ == At(seconds(1)));
  MarkReplicaUnlisted(directory, "r1", At(seconds(4)));
  UpsertReplica(directory, ready);
  CHECK(directory.replicas_.at("r1").leaving_since_ == At(seconds(1)));
  ReplicaEntry restarted = ready;
  restarted.started_unix_ms_ = 2;
  UpsertReplica(directory, restarted);
  CHECK_FALSE(directory.replicas_.at("r1").leaving_since_);
  // An entry that was only missing is back as it was.
  MarkReplicaUnlisted(directory, "r1", At(seconds(5)));
  UpsertReplica(directory, restarted);
  CHECK_FALSE(directory.replicas_.at("r1").leaving_since_);
}

}  // namespace
}  // namespace clementinerill::traffic
