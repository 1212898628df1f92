#include <string>

#include <catch2/catch.hpp>

#include "gateway/gateway_fixture.h"

namespace clementinerill::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a replica that gets far more requests than the limit that it
// has named, and against keeping the limit after the replica has withdrawn it.
TEST_CASE("a replica gets no more requests than it names", "[gateway]") {
  GatewayFixture fixture;
  fixture.PutEverything();
  Daemon& daemon = fixture.Start(fixture.Options("vm-1"));
  REQUIRE(fixture.RunUntil([&] { return fixture.IsReady(daemon); }));
  REQUIRE(fixture.RunUntil([&] { return fixture.IsRegistered(daemon); }));
  FakeReplica& replica = *fixture.replicas_[2];
  constexpr int kLimit = 20;
  replica.extra_headers_ = {{"Server-Limit", std::to_string(kLimit) + ".0"}};
  const auto count_in = [&](Duration length) {
    const size_t before = replica.requests_.size();
    const Instant end = http::EventLoop::Now() + length;
    while (http::EventLoop::Now() < end) {
      fixture.Get(daemon.options_.caller_listen_, "hold.example", "/h5/1");
    }
    return static_cast<int>(replica.requests_.size() - before);
  };
  count_in(milliseconds(500));
  const int limited = count_in(seconds(2));
  CHECK(limited <= kLimit * 2 * 1.5 + 5);
  CHECK(limited >= kLimit);
  replica.extra_headers_.clear();
  count_in(seconds(1));
  CHECK(count_in(seconds(1)) > kLimit * 2);
}

}  // namespace
}  // namespace clementinerill::gateway
