#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "traffic/fleet_fixture.h"

namespace clementinerill::traffic {
namespace {

/// Queries whose first attempts, all at one replica, wait for their
/// connections.
struct WaitingAttempts {
  explicit WaitingAttempts(int count) {
    service_.replicas_.resize(1);
    for (int i = 0; i < count; ++i) {
      const Instant now = At(milliseconds(i));
      queries_.push_back(
          StartQuery(fleet_.state_, fleet_.Route("docket.example", "/case/1"),
                     "id-" + std::to_string(i), seconds(5), now));
      RecordSend(replica_, now);
      RecordColdSend(service_, replica_, now);
      Attempt attempt;
      attempt.replica_ = service_.replicas_[0];
      attempt.sent_ = now;
      queries_.back().parts_[0].attempts_.push_back(attempt);
    }
  }

  int CountConfirmed(Duration at) {
    int confirmed = 0;
    for (const Query& query : queries_) {
      confirmed += ConfirmSend(fleet_.state_, query, {0, 0}, At(at)) ? 1 : 0;
    }
    return confirmed;
  }

  Fleet fleet_{{MakeSingleRoute(RequestKind::kNonIdempotent)}};
  ServiceState& service_ = *FindService(fleet_.state_, "docket");
  ReplicaState& replica_ = *service_.replicas_[0];
  std::vector<Query> queries_;
};

// Guards against requests that reach a replica because it could be used when
// they began to wait for their connection.
TEST_CASE("a replica that may no longer be used gets no waiting request",
          "[confirm]") {
  struct Change {
    std::string name_;
    std::function<void(WaitingAttempts&)> make_;
    int confirmed_;
  };
  const auto change = GENERATE(values<Change>(
      {{"none", [](WaitingAttempts&) {}, 1},
       {"evacuated",
        [](WaitingAttempts& waiting) {
          auto view =
              std::make_shared<TrafficView>(*waiting.fleet_.state_.view_);
          view->evacuated_.insert("a");
          waiting.fleet_.state_.view_ = view;
        },
        0},
       {"gone, and avoided",
        [](WaitingAttempts& waiting) {
          waiting.replica_.departure_reported_at_ = At({});
          waiting.replica_.failures_in_row_ = 2;
        },
        0},
       {"misdirected",
        [](WaitingAttempts& waiting) { waiting.replica_.misdirected_ = true; },
        0},
       {"paused",
        [](WaitingAttempts& waiting) {
          waiting.replica_.paused_until_ = At(seconds(4));
        },
        0},
       // The attempt may be the one that probes it.
       {"avoided",
        [](WaitingAttempts& waiting) { waiting.replica_.failures_in_row_ = 2; },
        1},
       {"query ended",
        [](WaitingAttempts& waiting) {
          waiting.queries_[0].outcome_ = QueryOutcome::kComplete;
        },
        0},
       {"access lost",
        [](WaitingAttempts& waiting) {
          waiting.queries_[0].access_refusal_ =
              organisations::AccessRefusal::kUnknownKey;
        },
        0}}));
  INFO(change.name_);
  WaitingAttempts waiting(1);
  change.make_(waiting);
  CHECK(waiting.CountConfirmed(seconds(3)) == change.confirmed_);
  CHECK(waiting.CountConfirmed(seconds(5)) == 0);
}

// Guards against a burst at a replica with a limit, when the connections of
// requests that were within it one by one are established together.
TEST_CASE("requests that waited together keep the limits of their replica",
          "[confirm]") {
  constexpr int kRequests = 40;
  WaitingAttempts waiting(kRequests);
  CHECK(waiting.CountConfirmed(milliseconds(500)) == kRequests);
  SECTION("rate limit") {
    ReplicaReport report;
    report.rate_limit_ = 3.0;
    RecordReport(waiting.fleet_.state_, waiting.replica_, report, At({}));
    CHECK(waiting.CountConfirmed(seconds(3)) <= 3);
  }
  SECTION("cold") {
    waiting.service_.rule_.cold_requests_per_s_ = 4;
    waiting.replica_.entry_.cold_until_ = At(seconds(10));
    const int confirmed = waiting.CountConfirmed(seconds(3));
    CHECK(confirmed > 0);
    CHECK(confirmed <= 4 * 1.5 + 5);
    CHECK(waiting.CountConfirmed(seconds(3) + milliseconds(500)) == 0);
  }
}

}  // namespace
}  // namespace clementinerill::traffic
