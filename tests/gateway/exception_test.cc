#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <catch2/catch.hpp>

#include "gateway/failing_allocations.h"
#include "gateway/gateway_fixture.h"

namespace clementinerill::gateway {
namespace {

/// A daemon some of whose allocations fail while it serves a request.
struct FailingFixture : GatewayFixture {
  FailingFixture() {
    PutEverything();
    daemon_ = &Start(Options("vm-1"));
    REQUIRE(RunUntil([this] { return IsReady(*daemon_); }));
    REQUIRE(FanOut(*daemon_).status_ == 200);
    REQUIRE(Upload("first", "").status_ == 200);
  }

  /// Runs the loop as `http::EventLoop::Run` does.
  template <typename GoesOn>
  void RunUntilStopped(Duration longest, const GoesOn& goes_on) {
    const Instant end = http::EventLoop::Now() + longest;
    while (goes_on() && http::EventLoop::Now() < end) {
      loop_.Context().restart();
      loop_.Guard().Run(http::HandlerKind::kLoop, [this] {
        loop_.Context().run_one_for(std::chrono::milliseconds(20));
      });
    }
  }
  void RunUntilStopped(Duration longest) {
    RunUntilStopped(longest, [] { return true; });
  }

  /// Runs a request that may run once only; its status is 0 if its connection
  /// was closed.
  http::HttpResponse Upload(const std::string& id, const std::string& body) {
    const Endpoint& endpoint = daemon_->options_.caller_listen_;
    const auto connection = std::make_shared<http::ClientConnection>(
        loop_, endpoint.address_, endpoint.port_, 1 << 20);
    std::optional<http::ExchangeResult> result;
    http::ExchangeRequest request;
    request.bytes_ =
        "POST /h5/1 HTTP/1.1\r\nHost: hold.example\r\nX-Request-Id: " + id +
        "\r\nX-Request-Deadline: 900\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
    connection->Start(std::move(request),
                      [&result](auto r) { result = std::move(r); });
    std::optional<FailingAllocations> failing;
    if (failures_ > 0) {
      failing.emplace(min_bytes_, skipped_, failures_);
    }
    RunUntilStopped(std::chrono::seconds(2), [&] { return !result; });
    failing.reset();
    connection->Close();
    has_ended_ = result.has_value();
    return result ? result->response_ : http::HttpResponse{};
  }

  /// How often the replica of `hold` has run the request.
  int Runs(const std::string& id) const {
    int runs = 0;
    for (const http::HttpRequest& request : replicas_[2]->requests_) {
      runs += http::FindHeader(request.headers_, "X-Request-Id") == id ? 1 : 0;
    }
    return runs;
  }

  uint64_t CountExceptions() const {
    uint64_t count = 0;
    for (const auto& entry : http::kHandlerKindNames) {
      count += daemon_->metrics_.exceptions_.Value(entry.value_);
    }
    return count;
  }

  bool ServesAgain() {
    return RunUntil([this] {
      return FanOut(*daemon_).status_ == 200 &&
             Upload("next", "").status_ == 200;
    });
  }

  Daemon* daemon_ = nullptr;
  size_t min_bytes_ = 0;
  uint64_t skipped_ = 0;
  uint64_t failures_ = 0;
  bool has_ended_ = false;  ///< The last upload, by a response or a close.
};

// Guards against a lack of memory that ends a daemon with the requests of
// others, that leaves a request without an end, and that makes "not run"
// untrue.
TEST_CASE("an allocation that fails ends one request, with a true status",
          "[gateway][exception]") {
  struct Lack {
    size_t min_bytes_;
    uint64_t count_;
    size_t body_bytes_;
    uint64_t step_;
  };
  const auto lack = GENERATE(values<Lack>({
      {0, 1, 100, 1},                // A single allocation.
      {0, 20, 100, 3},               // Some in a row.
      {100'000, 1'000, 500'000, 1},  // All large ones.
  }));
  INFO("allocations of " << lack.min_bytes_ << " bytes or more, " << lack.count_
                         << " in a row");
  FailingFixture fixture;
  fixture.min_bytes_ = lack.min_bytes_;
  const std::string body(lack.body_bytes_, 'x');
  uint64_t failed = 0;
  uint64_t unserved = 0;
  bool is_over = false;
  for (uint64_t skipped = 0; !is_over; skipped += lack.step_) {
    const std::string id = "upload-" + std::to_string(skipped);
    INFO(id);
    fixture.skipped_ = skipped;
    fixture.failures_ = lack.count_;
    const int status = fixture.Upload(id, body).status_;
    fixture.failures_ = 0;
    is_over = FailingAllocations::Failed() == 0;
    failed += FailingAllocations::Failed();
    unserved += status == 200 ? 0 : 1;
    const int runs = fixture.Runs(id);
    CHECK(fixture.has_ended_);
    // Nobody waits for the deadline of a request that has failed.
    CHECK(status != 504);
    CHECK(runs <= 1);
    CHECK((status != 503 || runs == 0));
    CHECK((status != 200 || runs == 1));
    REQUIRE(fixture.ServesAgain());
  }
  CHECK(unserved > 0);
  CHECK(fixture.CountExceptions() > 0);
  CHECK(fixture.CountExceptions() <= 3 * failed);
}

// Guards against a daemon that follows the store no more, or serves nobody,
// after its memory was used up for a while.
TEST_CASE("a daemon goes on when it has memory again", "[gateway][exception]") {
  const bool follows_relay = GENERATE(false, true);
  INFO("follows a relay: " << follows_relay);
  FailingFixture fixture;
  Daemon* other = nullptr;
  if (follows_relay) {
    fixture.AddRemoteDaemons(10);
    for (const char* name : {"vm-2", "vm-3", "vm-4"}) {
      other = &fixture.Start(fixture.Options(name));
    }
    REQUIRE(fixture.RunUntil([&] { return fixture.AllReady(); }));
  }
  for (int version = 6; version <= 9; ++version) {
    INFO("version " << version);
    fixture.store_.Put("config", "main",
                       GatewayFixture::Configuration(version));
    {
      const FailingAllocations failing(0, 0, UINT64_MAX);
      fixture.RunUntilStopped(std::chrono::milliseconds(700));
    }
    CHECK(FailingAllocations::Failed() > 0);
    CHECK(fixture.RunUntil([&] { return fixture.AllUseVersion(version); }));
    CHECK(fixture.RunUntil(
        [&] { return fixture.FanOut(*fixture.daemon_).status_ == 200; }));
    CHECK((!other || fixture.FanOut(*other).status_ == 200));
  }
}

}  // namespace
}  // namespace clementinerill::gateway
