#include <catch2/catch.hpp>

#include "gateway/gateway_fixture.h"

namespace clementinerill::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A daemon that knows more of the store than the copy to which it returns.
struct StoreRestoreFixture : GatewayFixture {
  StoreRestoreFixture() {
    PutEverything();
    daemon_ = &Start(Options("vm-1"));
    REQUIRE(RunUntil([&] { return IsReady(*daemon_); }));
    REQUIRE(RunUntil([&] { return IsRegistered(*daemon_); }));
    bound_ = daemon_->options_.max_propagation_delay_;
    store_.Copy();
  }

  /// Changes after the copy, which the store loses.
  void ChangeAfterCopy(int changes) {
    for (int i = 0; i < changes; ++i) {
      store_.Put("servers", "a1", replicas_[0]->Entry("shard-a"));
    }
    store_.Put("config", "main", Configuration(7));
    REQUIRE(RunUntil([&] { return AllUseVersion(7); }));
  }

  int CountCalls() const {
    int calls = 0;
    for (const auto& [call, count] : store_.request_counts_) {
      calls += count;
    }
    return calls;
  }

  Daemon* daemon_ = nullptr;
  Duration bound_{};
};

// Guards against a daemon that ignores the lists of a store that has returned
// from an older copy, because their revisions are lower.
TEST_CASE("a change after a return from an older copy is in force in time",
          "[restore]") {
  StoreRestoreFixture fixture;
  fixture.ChangeAfterCopy(30);
  fixture.store_.Restore();
  fixture.RunFor(milliseconds(500));
  CHECK(fixture.AllUseVersion(7));
  CHECK(fixture.TimeUntilInForce(9) <= fixture.bound_);
  // Twice in a row, from the same copy.
  fixture.store_.Restore();
  fixture.store_.Restore();
  CHECK(fixture.TimeUntilInForce(11) <= fixture.bound_);
}

// Guards against a watch from a revision that has been given out again: the
// store answers it without the changes up to there.
TEST_CASE("changes with repeated revisions are not missed", "[restore]") {
  StoreRestoreFixture fixture;
  fixture.ChangeAfterCopy(3);
  fixture.store_.SetDown(true);
  fixture.store_.Restore();
  fixture.store_.Put("config", "main", GatewayFixture::Configuration(9));
  for (int i = 0; i < 10; ++i) {
    fixture.store_.Put("servers", "b1", fixture.replicas_[1]->Entry("shard-b"));
  }
  const Instant back = http::EventLoop::Now();
  fixture.store_.SetDown(false);
  fixture.RunUntil([&] { return fixture.AllUseVersion(9); });
  CHECK(http::EventLoop::Now() - back <= fixture.bound_);
}

// Guards against readers that keep the older copy behind a relay that has the
// newer one.
TEST_CASE("relays pass on the copy of a new era", "[restore]") {
  GatewayFixture fixture;
  fixture.PutEverything();
  fixture.AddRemoteDaemons(30);
  fixture.store_.Copy();
  for (int i = 0; i < 5; ++i) {
    fixture.Start(fixture.Options("vm-" + std::to_string(i)));
  }
  REQUIRE(fixture.RunUntil([&] { return fixture.AllReady(); }));
  fixture.RunFor(milliseconds(1500));
  for (int i = 0; i < 40; ++i) {
    fixture.store_.Put("servers", "a1", fixture.replicas_[0]->Entry("shard-a"));
  }
  CHECK(fixture.TimeUntilInForce(7) <=
        fixture.daemons_[0]->options_.max_propagation_delay_);
  fixture.store_.Restore();
  CHECK(fixture.TimeUntilInForce(9) <=
        fixture.daemons_[0]->options_.max_propagation_delay_);
}

// Load: a store that answers every watch with 410. Guards against a daemon that
// lists and watches in turn without a pause, when the store can least bear it.
TEST_CASE("a store without history gets a few calls a second", "[restore]") {
  StoreRestoreFixture fixture;
  fixture.store_.has_no_history_ = true;
  fixture.store_.CutWatches();
  fixture.RunFor(seconds(1));
  const int before = fixture.CountCalls();
  fixture.RunFor(seconds(4));
  const int calls = fixture.CountCalls() - before;
  // Two calls for each of the five kinds a second, as often as a change must be
  // noticed.
  CHECK(calls <= 4 * 5 * 2);
  CHECK(fixture.TimeUntilInForce(9) <= fixture.bound_);
}

// Guards against the loss of a daemon's record that the store had accepted
// before the daemon saw it in a list.
TEST_CASE("a daemon whose record was lost registers again", "[restore]") {
  GatewayFixture fixture;
  fixture.PutEverything();
  fixture.store_.Copy();
  Daemon& daemon = fixture.Start(fixture.Options("vm-1"));
  REQUIRE(fixture.RunUntil([&] {
    return fixture.store_.request_counts_["POST clementinerill-daemons"] == 1;
  }));
  fixture.store_.Restore();
  CHECK(fixture.RunUntil([&] { return fixture.IsRegistered(daemon); }));
}

// Guards against requests into a failure domain whose evacuation the store has
// lost, until the operator has repeated it; and against one that lasts for ever
// when it is not repeated.
TEST_CASE("an evacuation that the store lost holds for a while", "[restore]") {
  StoreRestoreFixture fixture;
  fixture.store_.Put("evacuations", "z1", nlohmann::json::object());
  const auto status = [&] {
    return fixture
        .Get(fixture.daemon_->options_.caller_listen_, "hold.example", "/h5/1")
        .status_;
  };
  REQUIRE(fixture.RunUntil([&] { return status() == 503; }));
  fixture.store_.Restore();
  fixture.RunFor(seconds(2));
  CHECK(status() == 503);

  SECTION("the operator repeats it") {
    fixture.store_.Put("evacuations", "z1", nlohmann::json::object());
    fixture.RunFor(seconds(6));
    CHECK(status() == 503);
  }
  SECTION("nobody repeats it") {
    CHECK(fixture.RunUntil([&] { return status() == 200; }));
  }
}

}  // namespace
}  // namespace clementinerill::gateway
