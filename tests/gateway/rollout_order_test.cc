#include <catch2/catch.hpp>

#include "gateway/gateway_fixture.h"

namespace clementinerill::gateway {
namespace {

using std::chrono::milliseconds;

/// A service with a replica of the current version and one of the target, which
/// fails all requests.
struct RolloutOrderFixture : GatewayFixture {
  RolloutOrderFixture() {
    PutEverything();
    auto entry = target_.Entry("hold");
    entry["version"] = "v2";
    store_.Put("servers", "t1", entry);
    target_.handler_ = [](const FakeReplica::Caller& caller,
                          const http::HttpRequest&) {
      caller->Respond({500, {{"X-Server-Stamp", "s"}}, "", true}, false);
    };
  }

  void PutOrder() {
    store_.Put(
        "rollouts", "hold",
        {{"service", "hold"}, {"target_version", "v2"}, {"duration_s", 12}});
  }

  Daemon& StartReady() {
    Daemon& daemon = Start(Options("vm-1"));
    REQUIRE(RunUntil([&] { return IsReady(daemon); }));
    return daemon;
  }

  /// Sends requests until `done`, at most 2000. Returns how many the target
  /// version got.
  size_t SendUntil(Daemon& daemon, const std::function<bool()>& done) {
    const size_t before = target_.requests_.size();
    for (int i = 0; i < 2000 && !done(); ++i) {
      Get(daemon.options_.caller_listen_, "hold.example", "/h5/1",
          "id-" + std::to_string(number_++));
      RunFor(milliseconds(5));
    }
    return target_.requests_.size() - before;
  }

  size_t Send(Daemon& daemon, int requests) {
    const int end = number_ + requests;
    return SendUntil(daemon, [&] { return number_ >= end; });
  }

  FakeReplica target_{loop_, "t1"};
  int number_ = 0;
};

// Guards against requests to an unjudged version whose order is withdrawn, or
// lost by the store, before its replicas have gone.
TEST_CASE("a target version gets nothing after its order was removed",
          "[rollout]") {
  RolloutOrderFixture fixture;
  fixture.PutOrder();
  Daemon& daemon = fixture.StartReady();
  fixture.store_.Remove("rollouts", "hold");
  fixture.RunFor(milliseconds(100));
  CHECK(fixture.Send(daemon, 60) == 0);

  SECTION("its replicas are used when they are the only ones") {
    fixture.store_.Remove("servers", "c1");
    fixture.RunFor(milliseconds(600));
    CHECK(fixture.Send(daemon, 20) > 0);
  }
  SECTION("the version is forgotten with its replicas") {
    fixture.store_.Remove("servers", "t1");
    CHECK(fixture.RunUntil([&] {
      const auto status = nlohmann::json::parse(
          fixture.Get(*daemon.options_.metrics_listen_, "", "/status").body_);
      return status["rollouts"].empty();
    }));
  }
}

// Guards against a second order of a version that is decided by the evidence
// about the first one.
TEST_CASE("a second order of a version is judged anew", "[rollout]") {
  RolloutOrderFixture fixture;
  fixture.PutOrder();
  Daemon& daemon = fixture.StartReady();
  const auto is_decided = [&] { return !fixture.store_.statuses_.empty(); };
  CHECK(fixture.SendUntil(daemon, is_decided) >= 4);
  // The daemon hears of both changes in one response.
  fixture.store_.SetDown(true);
  fixture.store_.Remove("rollouts", "hold");
  fixture.store_.statuses_.clear();
  fixture.PutOrder();
  fixture.store_.SetDown(false);
  fixture.RunFor(milliseconds(1500));
  // The operator has replaced the replica by one that works.
  fixture.target_.handler_ = nullptr;
  CHECK(fixture.Send(daemon, 400) > 0);
  CHECK_FALSE(is_decided());
}

// Guards against a bad version that is tried anew, from no evidence, when the
// store has lost its verdict by returning from an older copy.
TEST_CASE("a verdict that the store lost is written again", "[rollout]") {
  RolloutOrderFixture fixture;
  fixture.PutOrder();
  Daemon& daemon = fixture.StartReady();
  fixture.store_.Copy();
  const auto is_decided = [&] { return !fixture.store_.statuses_.empty(); };
  CHECK(fixture.SendUntil(daemon, is_decided) >= 4);
  fixture.store_.WriteStatus("rollouts", "hold");
  fixture.RunFor(milliseconds(300));
  fixture.store_.statuses_.clear();
  SECTION("the order is in the copy") {
    fixture.store_.Restore();
  }
  SECTION("the operator repeats the order") {
    fixture.store_.Remove("rollouts", "hold");
    fixture.store_.Copy();
    fixture.store_.Restore();
    fixture.RunFor(milliseconds(300));
    fixture.PutOrder();
  }
  CHECK(fixture.Send(daemon, 60) == 0);
  REQUIRE(fixture.RunUntil(is_decided));
  CHECK(fixture.store_.statuses_.at("rollouts/hold")["state"] == "rolled_back");
}

// Guards against a starting daemon that does not know the orders yet and takes
// replicas of a target version for usual ones.
TEST_CASE("a daemon serves when it knows the orders", "[rollout]") {
  RolloutOrderFixture fixture;
  fixture.PutOrder();
  fixture.store_.unanswered_kinds_ = {"rollouts"};
  Daemon& daemon = fixture.Start(fixture.Options("vm-1"));
  REQUIRE(
      fixture.RunUntil([&] { return daemon.metrics_.replicas_.Value() > 0; }));
  CHECK_FALSE(fixture.IsReady(daemon));
  fixture.store_.unanswered_kinds_.clear();
  CHECK(fixture.RunUntil([&] { return fixture.IsReady(daemon); }));
}

}  // namespace
}  // namespace clementinerill::gateway
