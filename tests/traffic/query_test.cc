#include <catch2/catch.hpp>

#include "traffic/fleet_fixture.h"

namespace clementinerill::traffic {
namespace {

ReplicaResponse MakeResponse(const std::string& signature) {
  ReplicaResponse response;
  response.status_ = 200;
  response.signature_ = signature;
  return response;
}

/// Drives one query step by step.
struct QueryDriver {
  explicit QueryDriver(RouteRule route, Duration caller_timeout = seconds(5))
      : fleet_({std::move(route)}) {
    const auto& routes = fleet_.state_.view_->configuration_->routes_;
    query_ = StartQuery(fleet_.state_, routes.begin()->second.front(), "id",
                        caller_timeout, At({}));
  }

  std::vector<SendAction> Advance(Duration at) {
    return traffic::Advance(fleet_.state_, query_, At(at));
  }

  void FinishAttempt(SendAction action, AttemptOutcome outcome, Duration at) {
    RecordAttemptOutcome(fleet_.state_, query_, action, outcome,
                         MakeResponse("s"), At(at));
  }

  Fleet fleet_;
  Query query_;
};

// Guards against running a non-idempotent request twice.
TEST_CASE("a non-idempotent request that may have run is not sent again",
          "[query]") {
  for (const auto outcome :
       {AttemptOutcome::kBroken, AttemptOutcome::kGarbled,
        AttemptOutcome::kFailed, AttemptOutcome::kAbandoned}) {
    QueryDriver driver(MakeSingleRoute(RequestKind::kNonIdempotent));
    const auto sends = driver.Advance(milliseconds(0));
    REQUIRE(sends.size() == 1);
    CHECK(driver.Advance(milliseconds(400)).empty());
    driver.FinishAttempt(sends[0], outcome, milliseconds(410));
    CHECK(driver.Advance(milliseconds(411)).empty());
    CHECK(driver.query_.outcome_ == QueryOutcome::kFailed);
  }
}

// Guards against a refusal that reports "not run" while a replica may be
// running the request.
TEST_CASE("a query is refused only if no replica can have run it", "[query]") {
  QueryDriver driver(MakeSingleRoute(RequestKind::kNonIdempotent));
  auto sends = driver.Advance(milliseconds(0));
  driver.FinishAttempt(sends[0], AttemptOutcome::kShed, milliseconds(2));
  sends = driver.Advance(milliseconds(2));
  REQUIRE(sends.size() == 1);
  CHECK(driver.query_.outcome_ == QueryOutcome::kOpen);
  CHECK(driver.Advance(milliseconds(4996)).empty());
  CHECK(driver.query_.outcome_ == QueryOutcome::kTimedOut);
}

// Guards against callers that wait although no replica can serve them.
TEST_CASE("a request without a usable replica is refused at once", "[query]") {
  QueryDriver driver(MakeSingleRoute(RequestKind::kIdempotent));
  for (size_t i = 0; i < 3; ++i) {
    driver.fleet_.Replica("docket", i).misdirected_ = true;
  }
  CHECK(driver.Advance(milliseconds(0)).empty());
  CHECK(driver.query_.outcome_ == QueryOutcome::kRefused);
}

// Guards against running a request on more than `max_attempts_` replicas.
TEST_CASE("an idempotent request runs on max_attempts replicas at most",
          "[query]") {
  QueryDriver driver(MakeSingleRoute(RequestKind::kIdempotent));
  int ran = 0;
  for (int i = 0; i < 6; ++i) {
    for (const SendAction& send : driver.Advance(milliseconds(i))) {
      driver.FinishAttempt(send, AttemptOutcome::kBroken, milliseconds(i));
      ++ran;
    }
  }
  CHECK(ran == 2);
  CHECK(driver.query_.outcome_ == QueryOutcome::kFailed);
}

// Guards against a fan-out query that waits for a lost shard beyond its
// objective.
TEST_CASE("a fan-out query with enough parts ends before its objective",
          "[query]") {
  QueryDriver driver(MakeFanOutRoute(4));
  const auto sends = driver.Advance(milliseconds(0));
  REQUIRE(sends.size() == 4);
  for (size_t i = 0; i < 3; ++i) {
    driver.FinishAttempt(sends[i], AttemptOutcome::kAnswered, milliseconds(20));
  }
  (void)driver.Advance(milliseconds(20));
  CHECK(driver.query_.outcome_ == QueryOutcome::kOpen);
  CHECK(driver.query_.wake_at_ < At(milliseconds(120)));
  (void)driver.Advance(milliseconds(110));
  CHECK(driver.query_.outcome_ == QueryOutcome::kPartial);
  CHECK(CountParts(driver.query_, PartState::kAnswered) == 3);
}

// Guards against a response below the minimum coverage of the route.
TEST_CASE("a fan-out query below its minimum coverage waits, then times out",
          "[query]") {
  QueryDriver driver(MakeFanOutRoute(4));
  const auto sends = driver.Advance(milliseconds(0));
  driver.FinishAttempt(sends[0], AttemptOutcome::kAnswered, milliseconds(20));
  driver.FinishAttempt(sends[1], AttemptOutcome::kAnswered, milliseconds(20));
  (void)driver.Advance(milliseconds(110));
  CHECK(driver.query_.outcome_ == QueryOutcome::kOpen);
  (void)driver.Advance(milliseconds(1196));
  CHECK(driver.query_.outcome_ == QueryOutcome::kTimedOut);
}

// Guards against waiting for the deadline when the minimum coverage cannot be
// reached.
TEST_CASE("a fan-out query that cannot reach its coverage ends at once",
          "[query]") {
  QueryDriver driver(MakeFanOutRoute(4));
  for (const char* service : {"shard-0", "shard-1"}) {
    for (size_t i = 0; i < 3; ++i) {
      driver.fleet_.Replica(service, i).misdirected_ = true;
    }
  }
  CHECK(driver.Advance(milliseconds(0)).empty());
  CHECK(driver.query_.outcome_ == QueryOutcome::kRefused);
  // Attempts that were added in the step that ended the query were not sent.
  CHECK(driver.fleet_.Replica("shard-2", 0).outstanding_.empty());
}

// Guards against a part that waits for the end of a pause, and against counting
// two responses of one shard.
TEST_CASE("a slow part is hedged and counts once", "[query]") {
  QueryDriver driver(MakeFanOutRoute(2));
  for (int i = 0; i < 40; ++i) {
    driver.fleet_.Replica("shard-0", 0);
    FindService(driver.fleet_.state_, "shard-0")
        ->extra_attempt_budget_.RecordRequest(At({}));
  }
  const auto sends = driver.Advance(milliseconds(0));
  driver.FinishAttempt(sends[1], AttemptOutcome::kAnswered, milliseconds(10));
  const auto hedge = driver.Advance(milliseconds(60));
  REQUIRE(hedge.size() == 1);
  CHECK(driver.query_.parts_[0].attempts_[1].is_hedge_);
  driver.FinishAttempt(hedge[0], AttemptOutcome::kAnswered, milliseconds(75));
  driver.FinishAttempt(sends[0], AttemptOutcome::kAnswered, milliseconds(76));
  (void)driver.Advance(milliseconds(76));
  CHECK(driver.query_.outcome_ == QueryOutcome::kComplete);
}

// Guards against failures without a known cause: the reason is reported in the
// log and the metrics.
TEST_CASE("a failed part records why no further attempt was made", "[query]") {
  const auto reason = [](QueryDriver& driver, int failures) {
    for (int i = 0; i < failures; ++i) {
      for (const SendAction& send : driver.Advance(milliseconds(i))) {
        driver.FinishAttempt(send, AttemptOutcome::kBroken, milliseconds(i));
      }
    }
    (void)driver.Advance(milliseconds(failures));
    return driver.query_.parts_[0].failure_reason_;
  };
  QueryDriver used(MakeSingleRoute(RequestKind::kIdempotent));
  CHECK(reason(used, 2) == PartFailureReason::kAttemptsUsed);
  QueryDriver limited(MakeSingleRoute(RequestKind::kIdempotent));
  limited.fleet_.state_.limits_.extra_attempts_ = {0, 0, seconds(10)};
  CHECK(reason(limited, 1) == PartFailureReason::kLimitReached);
  QueryDriver lost(MakeSingleRoute(RequestKind::kIdempotent));
  for (size_t i = 0; i < 3; ++i) {
    lost.fleet_.Replica("docket", i).misdirected_ = true;
  }
  CHECK(reason(lost, 0) == PartFailureReason::kNoReplica);
  CHECK(lost.query_.outcome_ == QueryOutcome::kRefused);
}

// Load: requests that take ten times as long as is assumed before the first
// response. Guards against an estimate that never changes, because all replicas
// look slow compared with the assumption: each request would be hedged.
TEST_CASE("the latency of a route of long requests is learned", "[query]") {
  Fleet fleet({MakeSingleRoute(RequestKind::kIdempotent)});
  const RouteRule& route = fleet.Route("docket.example", "/case/1");
  for (int i = 0; i < 40; ++i) {
    const Instant now = At(milliseconds(500 * i));
    Query query = StartQuery(fleet.state_, route, "id-" + std::to_string(i),
                             seconds(5), now);
    for (const SendAction& send : Advance(fleet.state_, query, now)) {
      RecordAttemptOutcome(fleet.state_, query, send, AttemptOutcome::kAnswered,
                           {}, now + milliseconds(160));
    }
  }
  CHECK(RouteLatency(fleet.state_, route).Median() == milliseconds(160));
  CHECK(FindService(fleet.state_, "docket")->latency_.Median() ==
        milliseconds(160));
  CHECK_FALSE(IsOnProbation(fleet.Replica("docket", 0)));
}

}  // namespace
}  // namespace clementinerill::traffic
