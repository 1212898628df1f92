#include <map>
#include <memory>
#include <optional>
#include <string>

#include <catch2/catch.hpp>

#include "traffic/fleet_fixture.h"

namespace clementinerill::traffic {
namespace {

/// A daemon, one replica of whose service has reported its departure.
struct DepartedFixture {
  DepartedFixture() {
    RecordReportedDeparture(fleet_.state_, Leaving(), At({}));
  }

  ReplicaState& Leaving() { return fleet_.Replica("docket", 0); }

  /// Applies the current view with another entry for the leaving replica, or
  /// without it.
  void ApplyEntry(const std::optional<ReplicaEntry>& entry) {
    auto view = std::make_shared<TrafficView>(*fleet_.state_.view_);
    view->replicas_.erase(view->replicas_.begin());
    if (entry) {
      view->replicas_.insert(view->replicas_.begin(), *entry);
    }
    ApplyView(fleet_.state_, view);
  }

  [[nodiscard]] ReplicaEligibility Eligibility(Duration at) {
    return EligibilityOf(*fleet_.state_.view_, Leaving(), At(at));
  }

  Fleet fleet_{{MakeSingleRoute(RequestKind::kNonIdempotent)}, 9};
  const ReplicaEntry entry_ = fleet_.state_.view_->replicas_.front();
};

/// Requests that reach each replica of `docket`, 50/s until `end`, all answered
/// after 20 ms.
std::map<std::string, int> CountRequests(Fleet& fleet,
                                         Duration begin,
                                         Duration end) {
  std::map<std::string, int> counts;
  int number = 0;
  for (Duration t = begin; t < end; t += milliseconds(20)) {
    Query query =
        StartQuery(fleet.state_, fleet.Route("docket.example", "/case/1"),
                   "id-" + std::to_string(++number), seconds(1), At(t));
    for (const SendAction& action : Advance(fleet.state_, query, At(t))) {
      ++counts[query.parts_[0].attempts_[0].replica_->entry_.id_];
      RecordAttemptOutcome(fleet.state_, query, action,
                           AttemptOutcome::kAnswered, {},
                           At(t + milliseconds(20)));
    }
  }
  return counts;
}

// Guards against work for a replica that has said that it is leaving until it
// exits: requests that cannot be repeated are lost with it.
TEST_CASE(
    "a replica that reported its departure gets no request of a steady "
    "load",
    "[departure][load]") {
  DepartedFixture fixture;
  const auto counts = CountRequests(fixture.fleet_, {}, seconds(5));
  CHECK(counts.count("docket-a") == 0);
  CHECK(counts.at("docket-b") + counts.at("docket-c") == 250);
}

// Guards against an outage when all replicas of a service leave, and against
// requests to them after the time for which they are certain to serve.
TEST_CASE("replicas that all reported their departure serve for a time",
          "[departure][load]") {
  DepartedFixture fixture;
  for (size_t i = 1; i < 3; ++i) {
    RecordReportedDeparture(fixture.fleet_.state_,
                            fixture.fleet_.Replica("docket", i), At({}));
  }
  CHECK_FALSE(CountRequests(fixture.fleet_, {}, kLeavingGrace).empty());
  CHECK(CountRequests(fixture.fleet_, kLeavingGrace, seconds(9)).empty());
}

// Guards against requests to a replica that has exited where replicas have to
// serve only briefly after their departure.
TEST_CASE("a shorter grace period of the fleet is kept", "[departure][load]") {
  DepartedFixture fixture;
  for (size_t i = 1; i < 3; ++i) {
    RecordReportedDeparture(fixture.fleet_.state_,
                            fixture.fleet_.Replica("docket", i), At({}));
  }
  auto view = std::make_shared<TrafficView>(*fixture.fleet_.state_.view_);
  view->leaving_grace_ = milliseconds(600);
  ApplyView(fixture.fleet_.state_, view);
  CHECK_FALSE(CountRequests(fixture.fleet_, {}, milliseconds(600)).empty());
  CHECK(CountRequests(fixture.fleet_, milliseconds(600), seconds(9)).empty());
}

// Guards against a departure that ends with time or with a newer copy of the
// store in which the replica is still ready.
TEST_CASE("a reported departure lasts as long as the process", "[departure]") {
  DepartedFixture fixture;
  fixture.ApplyEntry(fixture.entry_);
  CHECK(fixture.Eligibility(seconds(1)) == ReplicaEligibility::kLeaving);
  CHECK(fixture.Eligibility(seconds(3600)) == ReplicaEligibility::kGone);
}

// Guards against a process that is used again because its entry was removed and
// has come back, for example with an older copy of the store.
TEST_CASE("a reported departure outlasts the entry of the replica",
          "[departure]") {
  DepartedFixture fixture;
  fixture.ApplyEntry(std::nullopt);
  fixture.ApplyEntry(fixture.entry_);
  CHECK(fixture.Eligibility(seconds(9)) == ReplicaEligibility::kGone);
  ReplicaEntry moved = fixture.entry_;
  moved.address_ = "10.0.0.9";
  fixture.ApplyEntry(moved);
  CHECK(fixture.Eligibility(seconds(9)) == ReplicaEligibility::kGone);
}

// Guards against a new process that inherits the departure of the one before.
TEST_CASE("a new process is not concerned by a departure", "[departure]") {
  DepartedFixture fixture;
  ReplicaEntry entry = fixture.entry_;
  SECTION("with the same id") {
    entry.started_unix_ms_ = 2;
  }
  SECTION("at the same address") {
    entry.id_ = "docket-z";
  }
  fixture.ApplyEntry(entry);
  CHECK(fixture.Eligibility(seconds(9)) == ReplicaEligibility::kUsable);
}

// Guards against memory that grows with each replica that was ever replaced.
TEST_CASE("the oldest departures are dropped beyond a number", "[departure]") {
  Departures departures;
  for (size_t i = 0; i <= kMaxDepartures; ++i) {
    const auto entry = MakeReplica("r" + std::to_string(i), "docket", "a");
    CHECK(RecordDeparture(departures, entry, At(milliseconds(i))));
  }
  CHECK(departures.by_replica_.size() == kMaxDepartures);
  CHECK_FALSE(FindDeparture(departures, MakeReplica("r0", "docket", "a")));
  CHECK(FindDeparture(departures, MakeReplica("r1", "docket", "a")));
}

}  // namespace
}  // namespace clementinerill::traffic
