#include <catch2/catch.hpp>

#include "gateway/gateway_fixture.h"

namespace clementinerill::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct StoreOutageFixture : GatewayFixture {
  StoreOutageFixture() {
    PutEverything();
    Daemon& daemon = Start(Options("vm-1"));
    REQUIRE(RunUntil([&] { return IsReady(daemon); }));
    bound_ = daemon.options_.max_propagation_delay_;
  }

  Duration bound_{};
};

// Guards against a daemon that keeps an old configuration after an outage: a
// request sent while the store is silent is never answered, and waiting for it
// as long as for a long poll exceeds the bound.
TEST_CASE("a change after a silent outage is in force within the bound",
          "[store]") {
  StoreOutageFixture fixture;
  fixture.store_.SetSilent(true);
  fixture.store_.CutWatches();
  const auto outage = GENERATE(milliseconds(1000), milliseconds(4500));
  fixture.RunFor(outage);
  fixture.store_.SetSilent(false);
  CHECK(fixture.TimeUntilInForce(9) <= fixture.bound_);
}

// Guards against the same after an outage that no daemon notices: the watch is
// sent while the store is silent, and no other request fails.
TEST_CASE("a watch sent in a short silence does not delay changes", "[store]") {
  StoreOutageFixture fixture;
  fixture.store_.EndWatches();
  fixture.store_.SetSilent(true);
  fixture.RunFor(milliseconds(300));
  fixture.store_.SetSilent(false);
  CHECK(fixture.TimeUntilInForce(9) <= fixture.bound_);
}

// Guards against waiting for a response that the store sent while the path was
// silent: it is lost, and the connection carries nothing after it.
TEST_CASE("a lost response to a watch does not delay its changes", "[store]") {
  StoreOutageFixture fixture;
  fixture.store_.SetSilent(true);
  const Instant written = http::EventLoop::Now();
  fixture.store_.Put("config", "main", GatewayFixture::Configuration(9));
  fixture.store_.SetSilent(false);
  fixture.RunUntil([&] { return fixture.AllUseVersion(9); });
  CHECK(http::EventLoop::Now() - written <= fixture.bound_);
}

}  // namespace
}  // namespace clementinerill::gateway
