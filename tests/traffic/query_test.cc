#include <catch2/catch.hpp>

#include "traffic/fleet_fixture.h"

namespace clementinerill::traffic {
namespace {

ReplicaResponse Answer(const std::string& signature) {
  ReplicaResponse answer;
  answer.status_ = 200;
  answer.signature_ = signature;
  return answer;
}

/// Runs one query by hand.
struct Run {
  explicit Run(RouteRule route, Duration patience = seconds(5))
      : fleet_({std::move(route)}) {
    const auto& routes = fleet_.state_.view_->configuration_->routes_;
    query_ = StartQuery(fleet_.state_, routes.begin()->second.front(), "id",
                        patience, At({}));
  }

  std::vector<SendAction> Advance(Duration at) {
    return traffic::Advance(fleet_.state_, query_, At(at));
  }

  void End(SendAction action, AttemptOutcome outcome, Duration at) {
    RecordAttemptOutcome(fleet_.state_, query_, action, outcome, Answer("s"),
                         At(at));
  }

  Fleet fleet_;
  Query query_;
};

// Guards against a non-idempotent request that runs twice.
TEST_CASE("a non-idempotent request that may have run is not sent again",
          "[query]") {
  for (const auto outcome :
       {AttemptOutcome::kBroken, AttemptOutcome::kGarbled,
        AttemptOutcome::kFailed, AttemptOutcome::kAbandoned}) {
    Run run(MakeSingleRoute(RequestKind::kNonIdempotent));
    const auto sends = run.Advance(milliseconds(0));
    REQUIRE(sends.size() == 1);
    CHECK(run.Advance(milliseconds(400)).empty());
    run.End(sends[0], outcome, milliseconds(410));
    CHECK(run.Advance(milliseconds(411)).empty());
    CHECK(run.query_.outcome_ == QueryOutcome::kFailed);
  }
}

// Guards against a refusal that says "not run" although a replica has it.
TEST_CASE("only proof that nothing ran makes a refusal", "[query]") {
  Run run(MakeSingleRoute(RequestKind::kNonIdempotent));
  auto sends = run.Advance(milliseconds(0));
  run.End(sends[0], AttemptOutcome::kShed, milliseconds(2));
  sends = run.Advance(milliseconds(2));
  REQUIRE(sends.size() == 1);
  CHECK(run.query_.outcome_ == QueryOutcome::kOpen);
  CHECK(run.Advance(milliseconds(4996)).empty());
  CHECK(run.query_.outcome_ == QueryOutcome::kTimedOut);
}

// Guards against callers that wait although no replica can serve them.
TEST_CASE("a request without a usable replica is refused at once", "[query]") {
  Run run(MakeSingleRoute(RequestKind::kIdempotent));
  for (size_t i = 0; i < 3; ++i) {
    run.fleet_.Replica("docket", i).misdirected_ = true;
  }
  CHECK(run.Advance(milliseconds(0)).empty());
  CHECK(run.query_.outcome_ == QueryOutcome::kRefused);
}

// Guards against more runs than `max_attempts_` replicas.
TEST_CASE("an idempotent request runs on max_attempts replicas at most",
          "[query]") {
  Run run(MakeSingleRoute(RequestKind::kIdempotent));
  int ran = 0;
  for (int i = 0; i < 6; ++i) {
    for (const SendAction& send : run.Advance(milliseconds(i))) {
      run.End(send, AttemptOutcome::kBroken, milliseconds(i));
      ++ran;
    }
  }
  CHECK(ran == 2);
  CHECK(run.query_.outcome_ == QueryOutcome::kFailed);
}

// Guards against a sweep that waits for a lost shard beyond its objective.
TEST_CASE("a sweep with enough parts is answered before its objective",
          "[query]") {
  Run run(MakeSweepRoute(4));
  const auto sends = run.Advance(milliseconds(0));
  REQUIRE(sends.size() == 4);
  for (size_t i = 0; i < 3; ++i) {
    run.End(sends[i], AttemptOutcome::kAnswered, milliseconds(20));
  }
  (void)run.Advance(milliseconds(20));
  CHECK(run.query_.outcome_ == QueryOutcome::kOpen);
  CHECK(run.query_.wake_at_ < At(milliseconds(120)));
  (void)run.Advance(milliseconds(110));
  CHECK(run.query_.outcome_ == QueryOutcome::kPartial);
  CHECK(CountParts(run.query_, PartState::kAnswered) == 3);
}

// Guards against an answer below the least coverage of the route.
TEST_CASE("a sweep below its least coverage waits, then fails", "[query]") {
  Run run(MakeSweepRoute(4));
  const auto sends = run.Advance(milliseconds(0));
  run.End(sends[0], AttemptOutcome::kAnswered, milliseconds(20));
  run.End(sends[1], AttemptOutcome::kAnswered, milliseconds(20));
  (void)run.Advance(milliseconds(110));
  CHECK(run.query_.outcome_ == QueryOutcome::kOpen);
  (void)run.Advance(milliseconds(1196));
  CHECK(run.query_.outcome_ == QueryOutcome::kTimedOut);
}

// Guards against waiting for the deadline when coverage is out of reach.
TEST_CASE("a sweep that cannot reach its coverage ends at once", "[query]") {
  Run run(MakeSweepRoute(4));
  for (const char* service : {"shard-0", "shard-1"}) {
    for (size_t i = 0; i < 3; ++i) {
      run.fleet_.Replica(service, i).misdirected_ = true;
    }
  }
  CHECK(run.Advance(milliseconds(0)).empty());
  CHECK(run.query_.outcome_ == QueryOutcome::kRefused);
  // Attempts planned in the step that ended the query were not sent.
  CHECK(run.fleet_.Replica("shard-2", 0).outstanding_.empty());
}

// Guards against a part that waits out a pause, and against two answers of
// one shard.
TEST_CASE("a slow part gets a second replica and counts once", "[query]") {
  Run run(MakeSweepRoute(2));
  for (int i = 0; i < 40; ++i) {
    run.fleet_.Replica("shard-0", 0);
    FindService(run.fleet_.state_, "shard-0")
        ->extra_attempt_budget_.RecordRequest(At({}));
  }
  const auto sends = run.Advance(milliseconds(0));
  run.End(sends[1], AttemptOutcome::kAnswered, milliseconds(10));
  const auto hedge = run.Advance(milliseconds(60));
  REQUIRE(hedge.size() == 1);
  CHECK(run.query_.parts_[0].attempts_[1].is_hedge_);
  run.End(hedge[0], AttemptOutcome::kAnswered, milliseconds(75));
  run.End(sends[0], AttemptOutcome::kAnswered, milliseconds(76));
  (void)run.Advance(milliseconds(76));
  CHECK(run.query_.outcome_ == QueryOutcome::kComplete);
}

// Guards against a failure that nobody can explain: the reason is kept for the
// log and the counters.
TEST_CASE("a failed part says why no further attempt was made", "[query]") {
  const auto why = [](Run& run, int failures) {
    for (int i = 0; i < failures; ++i) {
      for (const SendAction& send : run.Advance(milliseconds(i))) {
        run.End(send, AttemptOutcome::kBroken, milliseconds(i));
      }
    }
    (void)run.Advance(milliseconds(failures));
    return run.query_.parts_[0].failure_reason_;
  };
  Run used(MakeSingleRoute(RequestKind::kIdempotent));
  CHECK(why(used, 2) == PartFailureReason::kAttemptsUsed);
  Run limited(MakeSingleRoute(RequestKind::kIdempotent));
  limited.fleet_.state_.limits_.extra_attempts_ = {0, 0, seconds(10)};
  CHECK(why(limited, 1) == PartFailureReason::kLimitReached);
  Run lost(MakeSingleRoute(RequestKind::kIdempotent));
  for (size_t i = 0; i < 3; ++i) {
    lost.fleet_.Replica("docket", i).misdirected_ = true;
  }
  CHECK(why(lost, 0) == PartFailureReason::kNoReplica);
  CHECK(lost.query_.outcome_ == QueryOutcome::kRefused);
}

}  // namespace
}  // namespace clementinerill::traffic
