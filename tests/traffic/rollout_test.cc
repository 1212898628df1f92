#include <deque>
#include <random>
#include <string>

#include <catch2/catch.hpp>

#include "traffic/fleet_fixture.h"

namespace clementinerill::traffic {
namespace {

/// A service with two replicas of the current version and one of the target.
struct Rollout {
  Rollout() : fleet_({MakeSingleRoute(RequestKind::kIdempotent)}) {
    view_ = std::make_shared<TrafficView>(*fleet_.state_.view_);
    view_->replicas_[0].version_ = "v1";
    view_->replicas_[1].version_ = "v2";
    view_->replicas_[2].version_ = "v1";
    RolloutOrder order;
    order.service_ = "docket";
    order.target_version_ = "v2";
    order.ordered_ = At({});
    order.length_ = seconds(20);
    view_->rollouts_.push_back(order);
    Apply();
  }

  void Apply() {
    ApplyView(fleet_.state_, std::make_shared<TrafficView>(*view_));
  }

  /// Serves a request. Returns whether its first attempt went to the target
  /// version.
  bool Serve(int number,
             Instant now,
             bool target_fails,
             Duration took = milliseconds(10)) {
    UpdateShare(now);
    Query query =
        StartQuery(fleet_.state_, fleet_.Route("docket.example", "/case/1"),
                   "request-" + std::to_string(number), seconds(5), now);
    bool first_is_target = false;
    for (int step = 0; step < 4; ++step) {
      const auto sends = Advance(fleet_.state_, query, now);
      for (const SendAction& send : sends) {
        const auto& entry =
            query.parts_[0].attempts_[send.attempt_].replica_->entry_;
        const bool is_target = entry.version_ == "v2";
        first_is_target = first_is_target || (step == 0 && is_target);
        RecordAttemptOutcome(fleet_.state_, query, send,
                             is_target && target_fails
                                 ? AttemptOutcome::kFailed
                                 : AttemptOutcome::kAnswered,
                             {}, now + took);
      }
    }
    return first_is_target;
  }

  /// The share as a fleet of this daemon alone computes it.
  void UpdateShare(Instant now) {
    if (now - shared_ >= milliseconds(250)) {
      shared_ = now;
      ApplyVersionShares(
          fleet_.state_,
          {{"docket",
            "v2",
            TargetShare(Comparison(), 1, now),
            now,
            {},
            static_cast<int64_t>(LoadTrialRequests(
                Comparison(),
                Comparison().target_attempts_ + Comparison().current_attempts_,
                now))}});
    }
  }

  const VersionComparison& Comparison() {
    return *FindService(fleet_.state_, "docket")->rollout_;
  }

  Fleet fleet_;
  std::shared_ptr<TrafficView> view_;
  Instant shared_{};
};

// Guards against a bad version that gets more than a tenth of the requests.
TEST_CASE("an undecided version gets less than a tenth of the requests",
          "[rollout]") {
  Rollout rollout;
  int to_target = 0;
  for (int i = 0; i < 20000; ++i) {
    to_target += rollout.Serve(i, At(milliseconds(i)), false) ? 1 : 0;
  }
  CHECK(to_target > 800);
  CHECK(to_target < 2000);
}

// Guards against requests to a version after its fault has become apparent.
TEST_CASE("a bad version is detected within a few responses", "[rollout]") {
  Rollout rollout;
  int to_target = 0;
  for (int i = 0; i < 5000; ++i) {
    to_target += rollout.Serve(i, At(milliseconds(i)), true) ? 1 : 0;
  }
  CHECK(rollout.Comparison().is_bad_);
  CHECK(to_target <= 6);
  CHECK(DueDecision(rollout.Comparison(), At(seconds(19))) ==
        RolloutState::kRolledBack);
}

// Guards against the use of a share after the evidence behind it has become
// old, as when the control thread hangs.
TEST_CASE("the target version gets nothing on an outdated share", "[rollout]") {
  Rollout rollout;
  ApplyVersionShares(rollout.fleet_.state_, {{"docket", "v2", 0.75, At({})}});
  rollout.shared_ = At(seconds(100));
  int before = 0;
  int after = 0;
  for (int i = 0; i < 100; ++i) {
    before += rollout.Serve(i, At(seconds(1)), false) ? 1 : 0;
    after += rollout.Serve(i, At(seconds(3)), false) ? 1 : 0;
  }
  CHECK(before > 50);
  CHECK(after == 0);
}

// Load: all requests of a service for a moment, as after a completion. Guards
// against a load trial that does not reach that load, or that goes on beyond
// the requests that an undecided version may get.
TEST_CASE("the load trial takes all requests up to a number", "[rollout]") {
  Rollout rollout;
  rollout.shared_ = At(seconds(100));
  ApplyVersionShares(rollout.fleet_.state_,
                     {{"docket", "v2", 0.0, At(seconds(13)), {}, 20}});
  const auto count = [&rollout](int first, Instant now) {
    int to_target = 0;
    for (int i = 0; i < 50; ++i) {
      to_target += rollout.Serve(first + i, now, false) ? 1 : 0;
    }
    return to_target;
  };
  CHECK(count(0, At(milliseconds(11900))) == 0);
  CHECK(count(50, At(seconds(13))) == 20);
  CHECK(count(100, At(milliseconds(13500))) == 0);
  CHECK(count(150, At(milliseconds(14100))) == 0);
  CHECK(SumOfTrial(rollout.Comparison().trial_).judged_ == 20);
}

VersionAttempt MakeAttempt(bool is_target,
                           AttemptOutcome outcome,
                           Duration took = milliseconds(10)) {
  return {is_target, false, outcome, took, milliseconds(10)};
}

// Guards against rolling back good versions because of failures that occur with
// every version.
TEST_CASE("a version that is not worse is completed in time", "[rollout]") {
  VersionComparison comparison;
  comparison.order_.length_ = seconds(20);
  comparison.order_.ordered_ = At({});
  for (int i = 0; i < 2000; ++i) {
    const auto outcome =
        i % 16 == 0 ? AttemptOutcome::kFailed : AttemptOutcome::kAnswered;
    const Instant now = At(milliseconds(8 * i));
    RecordVersionOutcome(comparison, "r", MakeAttempt(i % 20 == 1, outcome),
                         now);
    RecordVersionOutcome(comparison, "r",
                         MakeAttempt(true, AttemptOutcome::kShed), now);
    CHECK(StandingOf(comparison) != VersionStanding::kBad);
  }
  CHECK_FALSE(DueDecision(comparison, At(seconds(10))));
  CHECK(DueDecision(comparison, At(seconds(18))) == RolloutState::kCompleted);
}

// Guards against a slow version that looks good because callers leave before
// its slow responses.
TEST_CASE("an attempt that was cancelled late is evidence", "[rollout]") {
  VersionComparison comparison;
  comparison.order_.length_ = seconds(20);
  comparison.order_.ordered_ = At({});
  RecordVersionOutcome(
      comparison, "r",
      MakeAttempt(true, AttemptOutcome::kCancelled, milliseconds(5)), At({}));
  RecordVersionOutcome(
      comparison, "r",
      MakeAttempt(true, AttemptOutcome::kCancelled, milliseconds(90)), At({}));
  CHECK(SumOfOutcomes(comparison).target_.judged_ == 1);
  CHECK(SumOfOutcomes(comparison).target_.bad_ == 1);
}

// Load: a quiet service of long requests, of which no daemon alone sees enough
// to know their usual latency. Guards against all responses of both versions
// counting as slow, which hides any fault of the target version.
TEST_CASE("the usual latency is that of all daemons", "[rollout]") {
  LatencyHistogram sum{};
  for (int daemon = 0; daemon < 9; ++daemon) {
    const auto latencies =
        MakeLatencyHistogram({milliseconds(150 + daemon), milliseconds(160)});
    CHECK_FALSE(MedianLatency(latencies));
    AddLatencies(sum, latencies);
  }
  REQUIRE(MedianLatency(sum));
  CHECK(*MedianLatency(sum) > milliseconds(100));
  CHECK(*MedianLatency(sum) < milliseconds(250));

  Rollout rollout;
  ApplyVersionShares(rollout.fleet_.state_,
                     {{"docket",
                       "v2",
                       0.5,
                       At(seconds(2)),
                       {{"single", *MedianLatency(sum)}}}});
  rollout.shared_ = At(seconds(100));
  for (int i = 0; i < 50; ++i) {
    rollout.Serve(i, At(seconds(2)), false, milliseconds(160));
  }
  const PeriodOutcomes outcomes = SumOfOutcomes(rollout.Comparison());
  CHECK(outcomes.current_.judged_ > 10);
  CHECK(outcomes.current_.bad_ == 0);
  CHECK(outcomes.target_.bad_ == 0);
  rollout.Serve(50, At(seconds(2)), false, milliseconds(700));
  const PeriodOutcomes slow = SumOfOutcomes(rollout.Comparison());
  CHECK(slow.current_.bad_ + slow.target_.bad_ == 1);
  // Reported for the sum, with the latencies of the current version only.
  const auto evidence = RolloutEvidence(rollout.fleet_.state_);
  REQUIRE(evidence.size() == 1);
  CHECK(MedianLatency(evidence[0].latencies_.at("single")));
}

/// One kind of version in a service, as nine daemons together see it.
struct VersionPattern {
  std::string name_;
  double rate_ = 0;      ///< Requests per second.
  double bad_ = 0;       ///< Share of bad responses of the target version.
  double bad_from_ = 0;  ///< Share of the order after which it is bad.
  double base_ = 0.04;   ///< Share of bad responses otherwise.
  /// Requests in a second above which the target version is bad.
  double bad_above_ = 0;
  /// Part of the requests that are on the route on which it is bad.
  double bad_route_ = 1;
};

struct PatternResult {
  int completed_ = 0;
  int over_exposure_ = 0;  ///< More requests than the users allow.
};

/// Whether the next request goes to the target version, as decided by the share
/// or, in the load trial, by the number of requests.
bool TakesTarget(const VersionComparison& seen,
                 const VersionComparison& reported,
                 double share,
                 Instant now,
                 std::mt19937_64& random) {
  if (IsInLoadTrial(seen.order_, now)) {
    const int64_t attempts =
        reported.target_attempts_ + reported.current_attempts_;
    return !seen.is_bad_ && static_cast<double>(seen.trial_.attempts_) <
                                LoadTrialRequests(reported, attempts, now);
  }
  return std::uniform_real_distribution<double>()(random) < share;
}

/// Plays orders of 12 s. The share follows evidence that is half a second old.
PatternResult PlayOrders(const VersionPattern& pattern, int runs) {
  PatternResult result;
  std::mt19937_64 random(7);
  std::uniform_real_distribution<double> uniform;
  for (int run = 0; run < runs; ++run) {
    VersionComparison seen;
    seen.order_.length_ = seconds(12);
    seen.order_.ordered_ = At({});
    seen.daemons_ = 9;
    VersionComparison reported = seen;
    std::optional<RolloutState> verdict;
    int requests = 0;
    std::deque<Instant> at_target;  // Of the last second.
    for (int tick = 0; tick < 48 && !verdict; ++tick) {
      const Instant tick_start = At(milliseconds(250 * tick));
      if (tick % 2 == 0) {
        reported = seen;
      }
      const double share = TargetShare(reported, 9, tick_start);
      std::poisson_distribution<int> arrivals(pattern.rate_ / 4);
      const int count = arrivals(random);
      for (int i = 0; i < count; ++i) {
        const Instant now = tick_start + milliseconds(250) * i / count;
        const bool is_target = TakesTarget(seen, reported, share, now, random);
        while (!at_target.empty() && now - at_target.front() >= seconds(1)) {
          at_target.pop_front();
        }
        if (is_target) {
          at_target.push_back(now);
        }
        const bool is_bad_route = uniform(random) < pattern.bad_route_;
        const bool has_fault =
            is_target && is_bad_route && tick >= 48 * pattern.bad_from_ &&
            static_cast<double>(at_target.size()) > pattern.bad_above_;
        const double bad =
            has_fault ? std::max(pattern.bad_, pattern.base_) : pattern.base_;
        RecordVersionAttempt(seen, is_target, now);
        RecordVersionOutcome(
            seen, is_bad_route ? "r" : "other",
            MakeAttempt(is_target, uniform(random) < bad
                                       ? AttemptOutcome::kFailed
                                       : AttemptOutcome::kAnswered),
            now);
        ++requests;
      }
      verdict = DueDecision(reported, tick_start);
    }
    result.completed_ += verdict == RolloutState::kCompleted ? 1 : 0;
    result.over_exposure_ +=
        static_cast<double>(seen.target_attempts_) > 50 + 0.1 * requests ? 1
                                                                         : 0;
  }
  return result;
}

// Load: a quiet service, of which a few percent of the requests are a handful,
// and a busy one. Guards against bad versions that are completed for lack of
// evidence, on which everything then depends, and against good versions that
// are taken back.
TEST_CASE("versions are judged by enough responses at any rate", "[rollout]") {
  constexpr int kRuns = 4000;
  const auto bad = GENERATE(
      VersionPattern{"quiet, a quarter bad", 5.6, 0.25},
      VersionPattern{"quiet, half bad", 5.6, 0.5},
      VersionPattern{"quiet, all bad", 5.6, 1.0},
      VersionPattern{"very quiet, all bad", 1.0, 1.0},
      VersionPattern{"busy, a quarter bad", 45, 0.25},
      VersionPattern{"busy, half bad from 0.7", 45, 0.5, 0.7},
      VersionPattern{"busy, both bad, the target more", 45, 0.3, 0, 0.1},
      VersionPattern{"busy, bad above half of the load", 30, 0.6, 0, 0.04, 15},
      VersionPattern{"busy, 0.6 bad on a quarter", 30, 0.6, 0, 0.04, 0, 0.25},
      VersionPattern{"very busy, bad above half of the load", 400, 0.6, 0, 0.04,
                     200});
  const auto result = PlayOrders(bad, kRuns);
  INFO(bad.name_ << ": completed " << result.completed_);
  CHECK(result.completed_ <= kRuns * 3 / 100);
  CHECK(result.over_exposure_ == 0);
}

TEST_CASE("good versions are completed at any rate but the lowest",
          "[rollout]") {
  constexpr int kRuns = 1000;
  const auto good =
      GENERATE(VersionPattern{"quiet", 5.6, 0, 0, 0.02},
               VersionPattern{"busy", 45}, VersionPattern{"very busy", 400});
  const auto result = PlayOrders(good, kRuns);
  INFO(good.name_ << ": completed " << result.completed_);
  CHECK(result.completed_ >= kRuns * 90 / 100);
  CHECK(result.over_exposure_ == 0);
}

// A tenth of the responses of both versions is bad, so that it takes more of
// them to tell the versions apart. Hidden here, a test of its own in CTest.
TEST_CASE("good versions are completed beside a disturbance",
          "[.][disturbed]") {
  constexpr int kRuns = 1000;
  const auto result =
      PlayOrders(VersionPattern{"busy, disturbed", 45, 0, 0, 0.1}, kRuns);
  INFO("completed " << result.completed_);
  CHECK(result.completed_ >= kRuns * 90 / 100);
}

// Guards against a fault of one route that the other routes hide.
TEST_CASE("a fault of one route is found", "[rollout]") {
  VersionComparison comparison;
  comparison.order_.length_ = seconds(20);
  comparison.order_.ordered_ = At({});
  for (int i = 0; i < 400; ++i) {
    RecordVersionOutcome(comparison, "a",
                         MakeAttempt(i % 4 == 0, AttemptOutcome::kAnswered),
                         At(milliseconds(20 * i)));
  }
  for (int i = 0; i < 12; ++i) {
    RecordVersionOutcome(
        comparison, "b",
        MakeAttempt(true, i % 2 == 0 ? AttemptOutcome::kFailed
                                     : AttemptOutcome::kAnswered),
        At(milliseconds(600 * i)));
  }
  CHECK(StandingOf(comparison) == VersionStanding::kBad);
}

// Guards against requests to the old version after completion, when its
// replicas stop, and to the target version after a rollback.
TEST_CASE("a decided rollout redirects all requests", "[rollout]") {
  Rollout rollout;
  rollout.view_->rollouts_[0].state_ = RolloutState::kCompleted;
  rollout.Apply();
  for (int i = 0; i < 100; ++i) {
    CHECK(rollout.Serve(i, At(milliseconds(i)), false));
  }
  rollout.view_->rollouts_[0].state_ = RolloutState::kRolledBack;
  rollout.Apply();
  for (int i = 0; i < 100; ++i) {
    CHECK_FALSE(rollout.Serve(i, At(milliseconds(i)), false));
  }
}

}  // namespace
}  // namespace clementinerill::traffic
