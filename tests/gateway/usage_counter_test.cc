#include <string>

#include <catch2/catch.hpp>

#include "gateway/usage_counter.h"
#include "http/test_server.h"
#include "traffic/query.h"

namespace clementinerill::gateway {
namespace {

using std::chrono::milliseconds;
using traffic::AttemptOutcome;

traffic::Attempt EndedAttempt(Instant sent, AttemptOutcome outcome) {
  traffic::Attempt attempt;
  attempt.sent_ = sent;
  attempt.is_open_ = false;
  attempt.outcome_ = outcome;
  return attempt;
}

struct Counting {
  Counting() {
    counter_.Start(loop_, [this](const usage::Batch& batch) {
      for (const auto& [key, requests] : batch) {
        counted_ += requests;
        unit_ = key.first;
        organisation_ = key.second;
      }
    });
    query_.organisation_ = "kami770";
    query_.started_ = http::EventLoop::Now() - milliseconds(500);
    query_.parts_.resize(2);
  }

  int64_t CountOnce() {
    CountEndedQuery(counter_, query_);
    const Instant end = http::EventLoop::Now() + milliseconds(250);
    http::RunUntil(loop_, [end] { return http::EventLoop::Now() >= end; });
    return counted_;
  }

  http::EventLoop loop_;
  UsageCounter counter_;
  traffic::Query query_;
  int64_t counted_ = 0;
  int64_t unit_ = 0;
  std::string organisation_;
};

// Guards against a request that counts once for each shard, retry or hedge, and
// against a begin at a replica that has refused it.
TEST_CASE("a query counts once, from the first replica that may run it",
          "[usage]") {
  Counting counting;
  const Instant first = counting.query_.started_ + milliseconds(200);
  auto& parts = counting.query_.parts_;
  parts[0].attempts_ = {
      EndedAttempt(first - milliseconds(150), AttemptOutcome::kShed),
      EndedAttempt(first + milliseconds(50), AttemptOutcome::kAnswered)};
  parts[1].attempts_ = {EndedAttempt(first, AttemptOutcome::kAbandoned),
                        EndedAttempt(first, AttemptOutcome::kAnswered)};
  const BootInstant begin =
      http::EventLoop::BootNow() - (http::EventLoop::Now() - first);
  CHECK(counting.CountOnce() == 1);
  CHECK(counting.organisation_ == "kami770");
  CHECK(std::abs(counting.unit_ -
                 begin.time_since_epoch() / usage::kBeginUnit) <= 1);
}

// Guards against a charge for requests that no replica has run.
TEST_CASE("a query that was refused everywhere does not count", "[usage]") {
  Counting counting;
  const Instant sent = counting.query_.started_;
  counting.query_.parts_[0].attempts_ = {
      EndedAttempt(sent, AttemptOutcome::kShed),
      EndedAttempt(sent, AttemptOutcome::kNotSent)};
  CHECK(counting.CountOnce() == 0);
}

// Guards against a query that counts at the aggregator as well.
TEST_CASE("a query of another daemon's caller does not count", "[usage]") {
  Counting counting;
  counting.query_.parts_[0].attempts_ = {
      EndedAttempt(counting.query_.started_, AttemptOutcome::kAnswered)};
  counting.query_.is_forwarded_ = true;
  CHECK(counting.CountOnce() == 0);
  counting.query_.is_forwarded_ = false;
  counting.query_.organisation_.clear();
  CHECK(counting.CountOnce() == 0);
  counting.query_.organisation_ = "kami770";
  CHECK(counting.CountOnce() == 1);
}

}  // namespace
}  // namespace clementinerill::gateway
