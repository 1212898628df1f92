#include <malloc.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "gateway/aggregation_fixture.h"
#include "gateway/forward_header.h"

namespace clementinerill::gateway {
namespace {

using traffic::ForwardOutcome;

}  // namespace

// Guards against an entry daemon that sends every part itself.
TEST_CASE("an aggregator gathers the queries of other daemons",
          "[aggregation]") {
  AggregationFixture fixture;
  Daemon& aggregator = fixture.StartDaemon("aggregator", 1000);
  Daemon& entry = fixture.StartDaemon("vm-entry", 100);
  CheckComplete(fixture.ForwardOne(entry));
  CHECK(entry.metrics_.forwards_.Value(ForwardOutcome::kAnswered) == 1);
  CHECK(aggregator.metrics_.gathered_for_others_.Value() == 1);
  for (const auto& replica : fixture.shard_replicas_) {
    CHECK(http::FindHeader(replica->requests_.back().headers_, kForwardHeader)
              .empty());
    CHECK(http::FindHeader(replica->requests_.back().headers_,
                           "X-Request-Id") == "id-1");
  }
  // The aggregator does not forward its own.
  CheckComplete(fixture.FanOut(aggregator));
  CHECK(AggregationFixture::CountForwards(aggregator) == 0);
}

// Guards against queries that are lost with an aggregator.
TEST_CASE("a daemon gathers by itself when its aggregators are gone",
          "[aggregation]") {
  AggregationFixture fixture;
  FakeAggregator* running = nullptr;
  FakeAggregator lost(fixture, [&running](const auto& caller, const auto&) {
    caller->SendInterim(kForwardStarted);
    caller->Respond({200, {{"X-Missing-Parts", "0"}}, "", true}, true);
    running->listener_.StopAccepting();
  });
  running = &lost;
  Daemon& entry = fixture.StartDaemon("vm-entry", 100);
  CheckComplete(fixture.ForwardOne(entry));
  for (int i = 0; i < 3; ++i) {
    fixture.ForgetRequests();
    CheckComplete(fixture.FanOut(entry));
    CHECK(fixture.MostRequests() == 1);
  }
  CHECK(lost.requests_.size() == 1);
}

// Guards against a query that waits for an aggregator that is frozen or cut
// off, and against parts that both of them send more often than allowed.
TEST_CASE("a silent aggregator costs a part of the objective",
          "[aggregation]") {
  AggregationFixture fixture;
  FakeAggregator silent(fixture, [](const auto&, const auto&) {});
  Daemon& entry = fixture.StartDaemon("vm-entry", 100);
  CheckComplete(fixture.ForwardOne(entry));
  CHECK(entry.metrics_.forwards_.Value(ForwardOutcome::kUnacknowledged) == 1);
  fixture.ForgetRequests();
  const Instant asked = http::EventLoop::Now();
  CheckComplete(fixture.FanOut(entry));  // Avoided by now.
  CHECK(http::EventLoop::Now() - asked < std::chrono::milliseconds(150));
  CHECK(silent.requests_.size() == 1);
  CHECK(fixture.MostRequests() == 1);
}

// Guards against an answer of another configuration than that of the daemon
// that the caller is connected to.
TEST_CASE("an aggregator refuses queries of another configuration",
          "[aggregation]") {
  AggregationFixture fixture;
  Daemon& aggregator = fixture.StartDaemon("aggregator", 1000);
  const auto status = [&](const std::string& header) {
    const auto connection = std::make_shared<http::ClientConnection>(
        fixture.loop_, "127.0.0.1", aggregator.options_.forward_listen_->port_,
        1 << 20);
    std::optional<http::ExchangeResult> result;
    http::ExchangeRequest request;
    request.bytes_ =
        "GET /s/1 HTTP/1.1\r\nHost: search.example\r\nX-Request-Id: 1\r\n" +
        header + "\r\n\r\n";
    connection->Start(std::move(request), [&result](http::ExchangeResult r) {
      result = std::move(r);
    });
    fixture.RunUntil([&result] { return result.has_value(); });
    connection->Close();
    return result->response_.status_;
  };
  const std::string name = std::string(kForwardHeader) + ": ";
  CHECK(status(name + EncodeForwardHeader({5, {}})) == 200);
  CHECK(status(name + EncodeForwardHeader({4, {}})) == kForwardRefused);
  CHECK(status(name + EncodeForwardHeader({6, {}})) == kForwardRefused);
  CHECK(status(name + "1 5 0 1 0 0,3,19") == 200);
  for (const char* odd : {"2 5 0", "1 5", "1 5 0 0", "1 5 -1", "1 x 0", "",
                          "1 18446744073709551615 0", "1  5 0",
                          "1 5 0 1 0 0,3,20", "1 5 0 1 0 3,0", "1 5 0 1 0 3,3",
                          "1 5 0 1 0 ", "1 5 0 x 0 1", "1 5 0 1 0 1 2"}) {
    INFO(odd);
    CHECK(status(name + odd) == kForwardRefused);
  }
  CHECK(status("X: y") == kForwardRefused);
}

TEST_CASE("a refused query is gathered by the daemon itself", "[aggregation]") {
  AggregationFixture fixture;
  FakeAggregator refusing(fixture, [](const auto& caller, const auto&) {
    caller->Respond({kForwardRefused, {}, "", true}, false);
  });
  Daemon& entry = fixture.StartDaemon("vm-entry", 100);
  CheckComplete(fixture.ForwardOne(entry));
  CHECK(entry.metrics_.forwards_.Value(ForwardOutcome::kRefused) == 1);
}

// Guards against more attempts at replicas than the route allows: what the
// aggregator has sent before it was lost is unknown.
TEST_CASE("an aggregator that is lost after the start ends the query",
          "[aggregation]") {
  AggregationFixture fixture;
  FakeAggregator lost(fixture, [](const auto& caller, const auto&) {
    caller->SendInterim(kForwardStarted);
    caller->Close();
  });
  Daemon& entry = fixture.StartDaemon("vm-entry", 100);
  CHECK(fixture.ForwardOne(entry).status_ == 502);
  CHECK(entry.metrics_.forwards_.Value(ForwardOutcome::kBroken) == 1);
}

// Guards against replicas that go on working for a caller that has left.
TEST_CASE("a disconnecting caller cancels the query at the aggregator",
          "[aggregation]") {
  AggregationFixture fixture;
  bool cancelled = false;
  FakeAggregator busy(fixture, [&cancelled](const auto& caller, const auto&) {
    caller->SendInterim(kForwardStarted);
    caller->OnDisconnect([&cancelled] { cancelled = true; });
  });
  Daemon& entry = fixture.StartDaemon("vm-entry", 100);
  while (busy.requests_.empty()) {
    const auto connection = std::make_shared<http::ClientConnection>(
        fixture.loop_, "127.0.0.1", entry.options_.caller_listen_.port_, 1000);
    http::ExchangeRequest request;
    request.bytes_ =
        "GET /s/1 HTTP/1.1\r\nHost: search.example\r\nX-Request-Id: 1\r\n\r\n";
    connection->Start(std::move(request), [](const http::ExchangeResult&) {});
    fixture.RunFor(std::chrono::milliseconds(100));
    connection->Close();
  }
  CHECK(fixture.RunUntil([&] { return cancelled; }));
  CHECK(entry.metrics_.forwards_.Value(ForwardOutcome::kCancelled) == 1);
}

// Guards against parts that are lost or counted twice when two daemons gather
// one query, and against parts that cross failure domains one by one.
TEST_CASE("aggregators gather for each other across failure domains",
          "[aggregation]") {
  AggregationFixture fixture;
  // Half of the shards have their only replica in another failure domain.
  for (int i = 0; i < kShards; i += 2) {
    auto spec = fixture.shard_replicas_[static_cast<size_t>(i)]->Entry(
        "shard-" + std::to_string(i));
    spec["zone"] = "z2";
    fixture.store_.Put("servers", "r" + std::to_string(i), spec);
  }
  GatewayOptions options = fixture.Options("far");
  options.failure_domain_ = "z2";
  options.capacity_ = 1000;
  options.forward_listen_ = Endpoint{"127.0.0.1", FreePort(fixture.loop_)};
  Daemon& far = fixture.Start(options);
  Daemon& near = fixture.StartDaemon("near", 1000);
  REQUIRE(fixture.RunUntil([&] { return fixture.IsReady(far); }));
  http::HttpResponse response;
  for (int i = 0; i < 30 && AggregationFixture::CountForwards(near) == 0; ++i) {
    fixture.RunFor(std::chrono::milliseconds(200));
    fixture.ForgetRequests();
    response = fixture.FanOut(near);
  }
  CheckComplete(response);
  CHECK(far.metrics_.gathered_for_others_.Value() == 1);
  CHECK(near.metrics_.forwards_.Value(ForwardOutcome::kAnswered) == 1);
  const auto signatures = http::FindHeader(response.headers_, "X-Part-Stamps");
  CHECK(std::count(signatures.begin(), signatures.end(), ',') == kShards - 1);
  CHECK(response.body_.size() == 5 * 16);
  for (const auto& replica : fixture.shard_replicas_) {
    CHECK(replica->requests_.size() == 1);
  }
}

// Guards against a status of a faulty aggregator that costs the deadline or is
// passed on. The interim response that starts a query is not one.
TEST_CASE("a status that no response can have ends the forwarded query",
          "[aggregation]") {
  const std::string status = GENERATE("101", "600");
  INFO(status);
  AggregationFixture fixture;
  const std::string reply = "HTTP/1.1 " + std::to_string(kForwardStarted) +
                            " Started\r\n\r\nHTTP/1.1 " + status +
                            " Odd\r\n\r\n";
  http::TestServer faulty(fixture.loop_, [&reply](const std::string&) {
    return http::TestServer::Reply{reply, false};
  });
  fixture.PutRecord("aggregator", faulty.Port(), 1000);
  Daemon& entry = fixture.StartDaemon("vm-entry", 100);
  REQUIRE(fixture.RunUntil([&] { return faulty.Connections() > 0; }));
  CHECK(fixture.ForwardOne(entry).status_ == 502);
  CHECK(entry.metrics_.forwards_.Value(ForwardOutcome::kBroken) > 0);
}

// Guards against a faulty daemon that ends the others by responses without end.
TEST_CASE("responses of aggregators stay within the memory of the VM",
          "[aggregation][buffers]") {
  AggregationFixture fixture;
  const std::string head =
      "HTTP/1.1 " + std::to_string(kForwardStarted) +
      " Started\r\n\r\nHTTP/1.1 200 OK\r\nX-Missing-Parts: 0\r\n\r\n";
  http::TestServer faulty(fixture.loop_, [&head](const std::string&) {
    return http::TestServer::Reply{head, false, std::string(64 * 1024, 'x')};
  });
  fixture.PutRecord("aggregator", faulty.Port(), 1000);
  Daemon& entry = fixture.StartDaemon("vm-entry", 100);
  const Endpoint& endpoint = entry.options_.caller_listen_;
  REQUIRE(fixture.RunUntil([&] { return faulty.Connections() > 0; }));
  fixture.RunFor(std::chrono::milliseconds(300));
  constexpr int kCalls = 60;
  int ended = 0;
  std::vector<std::shared_ptr<http::ClientConnection>> calls;
  for (int i = 0; i < kCalls; ++i) {
    calls.push_back(std::make_shared<http::ClientConnection>(
        fixture.loop_, endpoint.address_, endpoint.port_, 1 << 20));
    http::ExchangeRequest request;
    request.bytes_ =
        "GET /s/1 HTTP/1.1\r\nHost: search.example\r\nX-Request-Id: call-" +
        std::to_string(i) + "\r\nX-Request-Deadline: 800\r\n\r\n";
    calls.back()->Start(std::move(request),
                        [&ended](const http::ExchangeResult&) { ++ended; });
  }
  malloc_trim(0);
  const size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
  size_t most = before;
  fixture.RunUntil([&] {
    most = std::max(most, mallinfo2().uordblks + mallinfo2().hblkhd);
    return ended == kCalls;
  });
  CHECK(ended == kCalls);
  CHECK(entry.metrics_.forwards_.Value(ForwardOutcome::kAnswered) == 0);
  CHECK(entry.metrics_.forwards_.Value(ForwardOutcome::kBroken) > 0);
  // An eighth of the memory, of which a response takes up to three times its
  // size.
  CHECK(most - before < 3 * entry.options_.memory_bytes_ / 8);
}

}  // namespace clementinerill::gateway
