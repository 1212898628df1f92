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
  bool Serve(int number, Instant now, bool target_fails) {
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
                             {}, now + milliseconds(10));
      }
    }
    return first_is_target;
  }

  const VersionComparison& Comparison() {
    return *FindService(fleet_.state_, "docket")->rollout_;
  }

  Fleet fleet_;
  std::shared_ptr<TrafficView> view_;
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
  CHECK_FALSE(MayComplete(rollout.Comparison(), At(seconds(19))));
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
    RecordVersionOutcome(comparison, i % 20 == 1, outcome, milliseconds(10),
                         milliseconds(10));
    RecordVersionOutcome(comparison, true, AttemptOutcome::kShed, {}, {});
    CHECK_FALSE(IsClearlyWorse(comparison));
  }
  CHECK_FALSE(MayComplete(comparison, At(seconds(10))));
  CHECK(MayComplete(comparison, At(seconds(18))));
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
