#include <string>

#include <catch2/catch.hpp>

#include "gateway/gateway_fixture.h"

namespace clementinerill::gateway {
namespace {

using std::chrono::milliseconds;

// Guards against requests to a replica that has refused one and has asked for
// none for a time: more than two between half a second later and its end.
TEST_CASE("a replica that asks for a pause gets no requests for its length",
          "[gateway][pause]") {
  GatewayFixture fixture;
  fixture.PutEverything();
  Daemon& daemon = fixture.Start(fixture.Options("vm-1"));
  REQUIRE(fixture.RunUntil([&] { return fixture.IsReady(daemon); }));
  FakeReplica& replica = *fixture.replicas_[2];
  replica.handler_ = [](const auto& caller, const auto& request) {
    http::HttpResponse response;
    response.status_ = 503;
    response.headers_ = {
        {"X-Request-Id",
         std::string(http::FindHeader(request.headers_, "X-Request-Id"))},
        {"X-Not-Executed", "1"},
        {"Retry-After", "1.5"}};
    caller->Respond(response, false);
  };
  const auto hold = [&] {
    return fixture.Get(daemon.options_.caller_listen_, "hold.example", "/h5/1")
        .status_;
  };
  CHECK(hold() == 503);
  const Instant refused = http::EventLoop::Now();
  replica.handler_ = nullptr;
  fixture.RunFor(milliseconds(500));
  const size_t before = replica.requests_.size();
  // A request waits for a quarter of its objective, 125 ms, at most.
  while (http::EventLoop::Now() < refused + milliseconds(1350)) {
    CHECK(hold() == 503);
  }
  CHECK(replica.requests_.size() == before);
  fixture.RunFor(milliseconds(200));
  CHECK(hold() == 200);
}

}  // namespace
}  // namespace clementinerill::gateway
