#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "traffic/fleet_fixture.h"

namespace clementinerill::traffic {
namespace {

constexpr Duration kStep = milliseconds(5);

/// The daemons of a fleet, each with its state of the same replica, which names
/// a rate limit.
struct LimitedReplica {
  LimitedReplica(int daemons, double requests_per_s) {
    report_.rate_limit_ = requests_per_s;
    for (int i = 0; i < daemons; ++i) {
      auto fleet = std::make_unique<Fleet>(
          std::vector<RouteRule>{MakeSingleRoute(RequestKind::kIdempotent)},
          daemons);
      fleet->state_.name_ = "vm-" + std::to_string(i);
      fleets_.push_back(std::move(fleet));
      RecordReport(fleets_.back()->state_, State(i), report_, At({}));
    }
  }

  ReplicaState& State(size_t daemon) {
    return fleets_[daemon]->Replica("docket", 0);
  }

  /// Sends as many requests as the daemons may between two times.
  void SendAll(Duration begin, Duration end) {
    for (Duration t = begin; t < end; t += kStep) {
      for (size_t i = 0; i < fleets_.size(); ++i) {
        while (HasPermit(State(i), At(t))) {
          RecordSend(State(i), At(t));
          sends_.push_back(At(t));
        }
      }
    }
  }

  ReplicaReport report_;
  std::vector<std::unique_ptr<Fleet>> fleets_;
  std::vector<Instant> sends_;
};

// Guards against a replica that gets more than it accepts because each daemon
// keeps the limit for itself, or because all daemons use permits that they have
// saved at the same time.
TEST_CASE("all daemons together keep the rate limit of a replica", "[rate]") {
  const int daemons = GENERATE(1, 9, 91);
  const double limit = GENERATE(2.0, 30.0, 300.0);
  LimitedReplica replica(daemons, limit);
  replica.SendAll(seconds(0), seconds(20));
  replica.SendAll(seconds(40), seconds(50));
  INFO(daemons << " daemons, " << limit << " requests/s");
  CHECK(MostWithin(seconds(4), replica.sends_) <= limit * 4 * 1.5 + 5);
  CHECK(static_cast<double>(replica.sends_.size()) >= limit * 30 * 0.9);
}

// Guards against a daemon that keeps a limit that the replica no longer names,
// and against one that drops a limit for a single response that overtook
// others.
TEST_CASE("a rate limit ends with the responses that name it", "[rate]") {
  LimitedReplica replica(9, 0);
  const FleetState& fleet = replica.fleets_[0]->state_;
  ReplicaState& state = replica.State(0);
  RecordReport(fleet, state, {}, At(milliseconds(100)));
  CHECK_FALSE(HasPermit(state, At(milliseconds(200))));
  RecordReport(fleet, state, {}, At(milliseconds(600)));
  CHECK(HasPermit(state, At(milliseconds(600))));
}

// Guards against permits that are lost when a query is refused before its
// requests are sent.
TEST_CASE("a request that was not sent returns its permit", "[rate]") {
  LimitedReplica replica(1, 1);
  ReplicaState& state = replica.State(0);
  const Instant now = At(milliseconds(1500));
  REQUIRE(HasPermit(state, now));
  RecordSend(state, now);
  CHECK_FALSE(HasPermit(state, now));
  CancelSend(state, now);
  CHECK(HasPermit(state, now));
}

// Guards against a rate limit of zero, or a very low one, that a daemon never
// finds out to have ended because it sends no request.
TEST_CASE("a replica that accepts nothing is asked now and then", "[rate]") {
  LimitedReplica replica(9, 0);
  replica.SendAll(seconds(0), seconds(40));
  CHECK(!replica.sends_.empty());
  CHECK(MostWithin(seconds(4), replica.sends_) <= 5);
}

// Guards against requests that wait for a permit until their deadline.
TEST_CASE("a request beyond the rate limit is refused at once", "[rate]") {
  Fleet fleet({MakeSingleRoute(RequestKind::kIdempotent)}, 9);
  ReplicaReport report;
  report.rate_limit_ = 1;
  for (size_t i = 0; i < 3; ++i) {
    RecordReport(fleet.state_, fleet.Replica("docket", i), report, At({}));
  }
  Query query =
      StartQuery(fleet.state_, fleet.Route("docket.example", "/case/1"), "id",
                 seconds(1), At({}));
  CHECK(Advance(fleet.state_, query, At({})).empty());
  CHECK(query.outcome_ == QueryOutcome::kRefused);
  CHECK(query.parts_[0].failure_reason_ == PartFailureReason::kRateLimited);
}

}  // namespace
}  // namespace clementinerill::traffic
