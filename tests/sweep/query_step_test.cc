#include "sweep/query_step.h"

#include <algorithm>

#include <catch2/catch.hpp>

namespace clementinerill {
namespace {

using std::chrono::milliseconds;

const Instant kStart = Instant(std::chrono::hours(1));

QueryState MakeQuery(RouteKind kind, size_t parts) {
  QueryState query;
  query.kind_ = kind;
  query.started_ = kStart;
  query.deadline_ = kStart + milliseconds(1000);
  query.parts_.resize(parts);
  if (FansOut(kind)) {
    query.snapshot_ = Snapshot{1, 1};
  }
  return query;
}

PartAnswer AnswerOf(size_t part, size_t parts, Snapshot snapshot = {1, 1}) {
  PartAnswer answer;
  answer.snapshot_ = snapshot;
  answer.range_ =
      KeyRange{kKeySpaceEnd * part / parts, kKeySpaceEnd * (part + 1) / parts};
  answer.hits_ = {Hit{"doc-" + std::to_string(part), part}};
  return answer;
}

std::vector<QueryAction> OfKind(const std::vector<QueryAction>& actions,
                                QueryActionKind kind) {
  std::vector<QueryAction> found;
  std::copy_if(actions.begin(), actions.end(), std::back_inserter(found),
               [kind](const QueryAction& a) { return a.kind_ == kind; });
  return found;
}

void StartAll(QueryState& query) {
  for (size_t part = 0; part < query.parts_.size(); ++part) {
    RecordStart(query, part, AttemptKind::kPrimary, "a", kStart);
  }
}

// Guards against waiting or hedging after the answer is complete.
TEST_CASE("a fan-out query finishes when every part is answered", "[query]") {
  QueryState query = MakeQuery(RouteKind::kSweep, 2);
  CHECK(OfKind(NextActions(query, {}, kStart), QueryActionKind::kStartAttempt)
            .size() == 2);
  StartAll(query);
  RecordResult(query, 0, 0, AttemptResult::kAnswered, AnswerOf(0, 2), kStart);
  CHECK(
      OfKind(NextActions(query, {}, kStart), QueryActionKind::kFinish).empty());
  RecordResult(query, 1, 0, AttemptResult::kAnswered, AnswerOf(1, 2), kStart);
  CHECK(
      OfKind(NextActions(query, {}, kStart), QueryActionKind::kFinish).size() ==
      1);
  const QueryAnswer answer = BuildAnswer(query);
  CHECK(answer.outcome_ == Outcome::kComplete);
  CHECK(answer.coverage_ == 1);
  CHECK(answer.hits_.size() == 2);
}

// Guards against merging hits of two index versions into one answer.
TEST_CASE("an answer from another snapshot is not merged", "[query]") {
  QueryState query = MakeQuery(RouteKind::kSweep, 2);
  StartAll(query);
  RecordResult(query, 0, 0, AttemptResult::kAnswered, AnswerOf(0, 2), kStart);
  RecordResult(query, 1, 0, AttemptResult::kAnswered,
               AnswerOf(1, 2, Snapshot{2, 1}), kStart);
  const QueryAnswer answer = BuildAnswer(query);
  CHECK(answer.outcome_ == Outcome::kPartial);
  CHECK(answer.coverage_ == 0.5);
  CHECK(answer.hits_.size() == 1);
}

// Guards against merging both answers when a part and its hedge are answered.
TEST_CASE("the second answer of a hedged part is discarded", "[query]") {
  QueryState query = MakeQuery(RouteKind::kSweep, 1);
  StartAll(query);
  const Instant late = kStart + milliseconds(100);
  const auto hedges =
      OfKind(NextActions(query, {}, late), QueryActionKind::kStartAttempt);
  REQUIRE(hedges.size() == 1);
  CHECK(hedges[0].attempt_kind_ == AttemptKind::kHedge);
  RecordStart(query, 0, AttemptKind::kHedge, "b", late);
  RecordResult(query, 0, 1, AttemptResult::kAnswered, AnswerOf(0, 1), late);
  const auto actions = NextActions(query, {}, late);
  CHECK(OfKind(actions, QueryActionKind::kCancelAttempt).size() == 1);
  RecordResult(query, 0, 0, AttemptResult::kAnswered, AnswerOf(0, 1), late);
  CHECK(BuildAnswer(query).hits_.size() == 1);
}

// Guards against hedges that cannot be answered before the deadline.
TEST_CASE("no hedge starts when its answer would miss the deadline",
          "[query]") {
  QueryState query = MakeQuery(RouteKind::kSweep, 1);
  StartAll(query);
  const Instant late = query.deadline_ - milliseconds(8);
  CHECK(NextActions(query, {}, late).empty());
}

// Guards against sending a hold request, which is not idempotent, again after
// it may have run: this is the only fault that books a face twice.
TEST_CASE("a hold is sent again only if it is certain that it did not run",
          "[hold]") {
  for (const auto& entry : kAttemptResultNames) {
    if (entry.value_ == AttemptResult::kRunning ||
        entry.value_ == AttemptResult::kAnswered) {
      continue;
    }
    QueryState query = MakeQuery(RouteKind::kHold, 1);
    StartAll(query);
    CHECK(OfKind(NextActions(query, {}, kStart + milliseconds(500)),
                 QueryActionKind::kStartAttempt)
              .empty());
    RecordResult(query, 0, 0, entry.value_, std::nullopt, kStart);
    const bool repeated =
        !OfKind(NextActions(query, {}, kStart), QueryActionKind::kStartAttempt)
             .empty();
    INFO(entry.name_);
    CHECK(repeated == IsNotRun(entry.value_));
    const Outcome expected =
        IsNotRun(entry.value_) ? Outcome::kRefused : Outcome::kUnknown;
    CHECK(BuildAnswer(query).outcome_ == expected);
  }
}

// Guards against reporting a request as not run while a byte of it may have
// been sent.
TEST_CASE("a running attempt makes the outcome unknown", "[query]") {
  QueryState query = MakeQuery(RouteKind::kHold, 1);
  StartAll(query);
  CHECK(BuildAnswer(query).outcome_ == Outcome::kUnknown);
}

// Guards against reporting a fan-out query as not run when parts of it ran
// before a restart.
TEST_CASE("a restart discards answers but records that parts ran", "[query]") {
  QueryState query = MakeQuery(RouteKind::kSweep, 2);
  StartAll(query);
  RecordResult(query, 0, 0, AttemptResult::kAnswered, AnswerOf(0, 2), kStart);
  RecordResult(query, 1, 0, AttemptResult::kSnapshotGone, std::nullopt, kStart);
  RecordNoCandidate(query, 1, Reason::kNoSnapshot);
  const auto actions = NextActions(query, {}, kStart);
  REQUIRE(OfKind(actions, QueryActionKind::kRestart).size() == 1);
  Restart(query, Snapshot{2, 1});
  const QueryAnswer answer = BuildAnswer(query);
  CHECK(answer.coverage_ == 0);
  CHECK(answer.outcome_ == Outcome::kUnknown);
}

// Guards against endless restarts while index versions keep changing.
TEST_CASE("the number of restarts is limited", "[query]") {
  QueryState query = MakeQuery(RouteKind::kSweep, 1);
  const QueryPolicy policy;
  for (int i = 0; i < policy.max_restarts_; ++i) {
    RecordNoCandidate(query, 0, Reason::kNoSnapshot);
    REQUIRE(
        OfKind(NextActions(query, policy, kStart), QueryActionKind::kRestart)
            .size() == 1);
    Restart(query, Snapshot{static_cast<uint64_t>(i + 2), 1});
  }
  RecordNoCandidate(query, 0, Reason::kNoSnapshot);
  CHECK(OfKind(NextActions(query, policy, kStart), QueryActionKind::kFinish)
            .size() == 1);
}

// Guards against upstreams that keep working for a disconnected caller.
TEST_CASE("a caller that disconnects cancels every attempt", "[query]") {
  QueryState query = MakeQuery(RouteKind::kSweep, 3);
  StartAll(query);
  query.cancelled_ = true;
  const auto actions = NextActions(query, {}, kStart);
  CHECK(OfKind(actions, QueryActionKind::kCancelAttempt).size() == 3);
  CHECK(OfKind(actions, QueryActionKind::kFinish).size() == 1);
}

}  // namespace
}  // namespace clementinerill
