#include <malloc.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "gateway/gateway_fixture.h"
#include "http/test_server.h"

namespace clementinerill::gateway {
namespace {

// Memory of the smallest VMs, for which a daemon is set up by default.
constexpr uint64_t kMemoryBytes = 160'000'000;

/// A daemon, and a replica that answers with bytes that the test chooses.
struct OddReplicaFixture : GatewayFixture {
  explicit OddReplicaFixture(http::TestServer::Reply reply)
      : odd_(loop_, [this, reply](const std::string& /*head*/) {
          ++odd_requests_;
          return reply;
        }) {
    PutEverything();
  }

  /// Registers the replica under a name of its own.
  void AddOddReplica(const std::string& name, const std::string& service) {
    nlohmann::json entry = replicas_[2]->Entry(service);
    entry["address"] = "127.0.0.1:" + std::to_string(odd_.Port());
    store_.Put("servers", name, entry);
  }

  Daemon& StartReady() {
    Daemon& daemon = Start(Options("vm-1"));
    REQUIRE(RunUntil([&] { return IsReady(daemon); }));
    return daemon;
  }

  http::HttpResponse Hold(const Daemon& daemon, const std::string& id) {
    return Get(daemon.options_.caller_listen_, "hold.example", "/h5/1", id);
  }

  http::TestServer odd_;
  int odd_requests_ = 0;
};

std::string HeadWithLength(const std::string& length) {
  return "HTTP/1.1 200 OK\r\nX-Server-Stamp: stamp\r\nContent-Length: " +
         length + "\r\n\r\n";
}

// Guards against a replica that ends a daemon, and with it the requests of
// others, by a length in the head of a response (review/11). Its request ran,
// so it is neither sent again nor called "not run".
TEST_CASE("a length that no response has fails one request",
          "[gateway][length]") {
  OddReplicaFixture fixture(
      {HeadWithLength("1000000000000000"), false, std::string(1000, 'z')});
  fixture.AddOddReplica("c1", "hold");
  Daemon& daemon = fixture.StartReady();
  constexpr int kRequests = 5;
  for (int i = 0; i < kRequests; ++i) {
    CHECK(fixture.Hold(daemon, "hold-" + std::to_string(i)).status_ == 502);
  }
  CHECK(fixture.odd_requests_ == kRequests);
  CHECK(daemon.metrics_.responses_cut_off_.Value(http::ResponseLimit::kSize) ==
        kRequests);
  CHECK(fixture.FanOut(daemon).status_ == 200);
}

// Guards against a spoilt response that costs its caller the request although
// another replica can answer, and against a replica that keeps its share of the
// requests while it spoils them.
TEST_CASE("a request with a spoilt response is sent to another replica",
          "[gateway][length]") {
  OddReplicaFixture fixture(
      {HeadWithLength("1000000000000000") + "spoilt", false});
  // Of equal replicas the first one is chosen.
  fixture.AddOddReplica("a0", "shard-a");
  Daemon& daemon = fixture.StartReady();
  constexpr int kSweeps = 120;
  for (int i = 0; i < kSweeps; ++i) {
    const auto response = fixture.FanOut(daemon);
    CHECK(response.status_ == 200);
    CHECK(http::FindHeader(response.headers_, "X-Missing-Parts") == "0");
  }
  CHECK(fixture.odd_requests_ > 0);
  CHECK(fixture.odd_requests_ < kSweeps / 4);
}

// Guards against replicas that take the memory of a VM by announcing bodies, on
// hundreds of connections at once, whose bytes never come.
TEST_CASE("announced lengths take no memory", "[gateway][length]") {
  OddReplicaFixture fixture({HeadWithLength("16000000") + "x", false});
  for (int i = 1; i <= 30; ++i) {
    fixture.AddOddReplica("c" + std::to_string(i), "hold");
  }
  Daemon& daemon = fixture.StartReady();
  const Endpoint& endpoint = daemon.options_.caller_listen_;
  const auto allocated = [] {
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
  };
  const size_t before = allocated();
  size_t most = before;
  constexpr int kCalls = 300;
  int ended = 0;
  std::vector<std::shared_ptr<http::ClientConnection>> calls;
  for (int i = 0; i < kCalls; ++i) {
    http::ExchangeRequest request;
    request.bytes_ =
        "GET /h5/1 HTTP/1.1\r\nHost: hold.example\r\nX-Request-Id: call-" +
        std::to_string(i) + "\r\nX-Request-Deadline: 800\r\n\r\n";
    calls.push_back(std::make_shared<http::ClientConnection>(
        fixture.loop_, endpoint.address_, endpoint.port_, 1 << 20));
    calls.back()->Start(std::move(request),
                        [&ended](const auto& /*result*/) { ++ended; });
  }
  fixture.RunUntil([&] {
    most = std::max(most, allocated());
    return ended == kCalls;
  });
  CHECK(ended == kCalls);
  CHECK(fixture.odd_requests_ > 200);
  CHECK(most - before < kMemoryBytes);
  CHECK(fixture.FanOut(daemon).status_ == 200);
}

}  // namespace
}  // namespace clementinerill::gateway
