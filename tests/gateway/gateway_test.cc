#include <string>

#include <catch2/catch.hpp>

#include "gateway/gateway_fixture.h"

namespace clementinerill::gateway {
namespace {

using http::FindHeader;

TEST_CASE("a sweep is merged from the parts of all shards", "[gateway]") {
  World world;
  world.PutEverything();
  Daemon& daemon = world.Start(world.Options("vm-1"));
  REQUIRE(world.Until([&] { return world.IsReady(daemon); }));
  const auto answer = world.Sweep(daemon);
  CHECK(answer.status_ == 200);
  CHECK(answer.body_ == std::string(16, 'b') + std::string(16, 'a'));
  CHECK(FindHeader(answer.headers_, "X-Part-Stamps") == "stamp-a1, stamp-b1");
  CHECK(FindHeader(answer.headers_, "X-Missing-Parts") == "0");
  const auto& sent = world.replicas_[0]->requests_.back();
  CHECK(FindHeader(sent.headers_, "X-Expect-Instance") == "a1");
  CHECK(std::stoi(std::string(
            FindHeader(sent.headers_, "X-Request-Deadline"))) <= 800);
}

// Guards against refusing routes that may exist: without a configuration a
// daemon knows none.
TEST_CASE("without a configuration requests are refused as not run",
          "[gateway]") {
  World world;
  Daemon& daemon = world.Start(world.Options("vm-1"));
  CHECK_FALSE(world.IsReady(daemon));
  const auto answer = world.Sweep(daemon);
  CHECK(answer.status_ == 503);
  CHECK_FALSE(FindHeader(answer.headers_, "Retry-After").empty());
}

// Guards against going back to an older version, also from a late write.
TEST_CASE("a newer configuration is used and an older one is not",
          "[gateway]") {
  World world;
  world.PutEverything();
  Daemon& daemon = world.Start(world.Options("vm-1"));
  REQUIRE(world.Until([&] { return world.IsReady(daemon); }));
  const auto status = [&](const std::string& target) {
    return world.Get(daemon.options_.caller_listen_, "hold.example", target)
        .status_;
  };
  CHECK(status("/h5/1") == 200);
  world.store_.Put("config", "main", World::Configuration(9));
  CHECK(world.Until([&] { return status("/h9/1") == 200; }));
  CHECK(status("/h5/1") == 404);
  world.store_.Put("config", "main", World::Configuration(7));
  world.store_.Put("config", "main", {{"version", "broken"}});
  world.store_.Put("servers", "a1", world.replicas_[0]->Entry("shard-a"));
  CHECK(status("/h9/1") == 200);
  CHECK(status("/h7/1") == 404);
}

// Guards against a non-idempotent request that runs twice, and against telling
// the caller that it did not run.
TEST_CASE("a lost answer of a non-idempotent request is unknown", "[gateway]") {
  World world;
  world.PutEverything();
  Daemon& daemon = world.Start(world.Options("vm-1"));
  REQUIRE(world.Until([&] { return world.IsReady(daemon); }));
  world.replicas_[2]->behave_ = [](const FakeReplica::Caller& caller,
                                   const http::HttpRequest&) {
    caller->Close();
  };
  const auto answer =
      world.Get(daemon.options_.caller_listen_, "hold.example", "/h5/1");
  CHECK(answer.status_ == 502);
  CHECK(world.replicas_[2]->requests_.size() == 1);
}

// Guards against a refusal by status of a replica that ran the request.
TEST_CASE("a failure that promises nothing is not passed on as a promise",
          "[gateway]") {
  World world;
  world.PutEverything();
  Daemon& daemon = world.Start(world.Options("vm-1"));
  REQUIRE(world.Until([&] { return world.IsReady(daemon); }));
  std::string mark;
  world.replicas_[2]->behave_ = [&mark](const FakeReplica::Caller& caller,
                                        const http::HttpRequest&) {
    http::HttpResponse answer{503, {{"X-Server-Stamp", "s"}}, "", true};
    if (!mark.empty()) {
      answer.headers_.emplace_back(mark, "1");
    }
    caller->Respond(answer, false);
  };
  const auto status = [&] {
    return world.Get(daemon.options_.caller_listen_, "hold.example", "/h5/1")
        .status_;
  };
  CHECK(status() == 502);
  mark = "X-Not-Executed";
  CHECK(status() == 503);
}

// Guards against new work for a leaving replica and for one whose address has
// another owner.
TEST_CASE("parts go to the replicas that discovery names", "[gateway]") {
  World world;
  world.PutEverything();
  FakeReplica other(world.loop_, "d1");
  world.store_.Put("servers", "d1", other.Entry("shard-a"));
  world.store_.Put("servers", "a1",
                   world.replicas_[0]->Entry("shard-a", "draining"));
  Daemon& daemon = world.Start(world.Options("vm-1"));
  REQUIRE(world.Until([&] { return world.IsReady(daemon); }));
  CHECK(world.Sweep(daemon).body_ ==
        std::string(16, 'd') + std::string(16, 'b'));
  CHECK(world.replicas_[0]->requests_.empty());
  world.store_.Put("servers", "a1", world.replicas_[0]->Entry("shard-a"));
  other.behave_ = [](const FakeReplica::Caller& caller,
                     const http::HttpRequest&) {
    caller->Respond({421, {{"X-Instance-Id", "x"}}, "", true}, false);
  };
  REQUIRE(world.Until([&] {
    return !world.replicas_[0]->requests_.empty() ||
           world.Sweep(daemon).status_ == 0;
  }));
  CHECK(world.Sweep(daemon).body_.find('a') != std::string::npos);
}

// Guards against replicas at work for a caller that has gone.
TEST_CASE("a caller that leaves ends the work at the replicas", "[gateway]") {
  World world;
  world.PutEverything();
  Daemon& daemon = world.Start(world.Options("vm-1"));
  REQUIRE(world.Until([&] { return world.IsReady(daemon); }));
  bool cancelled = false;
  for (const auto& replica : world.replicas_) {
    replica->behave_ = [&cancelled](const FakeReplica::Caller& caller,
                                    const http::HttpRequest&) {
      caller->OnDisconnect([&cancelled] { cancelled = true; });
    };
  }
  const auto connection = std::make_shared<http::ClientConnection>(
      world.loop_, "127.0.0.1", daemon.options_.caller_listen_.port_, 1000);
  http::ExchangeRequest request;
  request.bytes_ =
      "GET /s/1 HTTP/1.1\r\nHost: search.example\r\nX-Request-Id: 1\r\n\r\n";
  connection->Start(std::move(request), [](const http::ExchangeResult&) {});
  REQUIRE(world.Until([&] { return !world.replicas_[0]->requests_.empty(); }));
  connection->Close();
  CHECK(world.Until([&] { return cancelled; }));
}

// Guards against a daemon that stops following the store after it has dropped
// its history or was away.
TEST_CASE("the store is followed through compaction and outages", "[gateway]") {
  World world;
  world.PutEverything();
  Daemon& daemon = world.Start(world.Options("vm-1"));
  REQUIRE(world.Until([&] { return world.IsReady(daemon); }));
  world.store_.Put("config", "main", World::Configuration(6));
  world.store_.Compact();
  world.store_.SetDown(true);
  world.store_.Put("config", "main", World::Configuration(8));
  world.store_.Compact();
  CHECK(world.Sweep(daemon).status_ == 200);
  world.store_.SetDown(false);
  CHECK(world.Until([&] {
    return world.Get(daemon.options_.caller_listen_, "hold.example", "/h8/1")
               .status_ == 200;
  }));
}

// Guards against a daemon that cannot start while the store is away although
// another one knows everything.
TEST_CASE("a daemon starts from a seed while the store is down", "[gateway]") {
  World world;
  world.PutEverything();
  Daemon& first = world.Start(world.Options("vm-1"));
  REQUIRE(world.Until([&] { return world.IsReady(first); }));
  world.store_.SetDown(true);
  GatewayOptions options = world.Options("vm-2");
  options.seeds_ = {*first.options_.relay_listen_};
  Daemon& second = world.Start(options);
  CHECK(world.Until([&] { return world.IsReady(second); }));
  CHECK(world.Sweep(second).status_ == 200);
}

// Guards against store calls that grow with the fleet.
TEST_CASE("most daemons of a large fleet do not call the store", "[gateway]") {
  World world;
  world.PutEverything();
  world.AddDistantDaemons(30);
  for (const char* name : {"vm-1", "vm-2", "vm-3", "vm-4", "vm-5"}) {
    world.Start(world.Options(name));
  }
  REQUIRE(world.Until([&] { return world.AllReady(); }));
  const int before = world.store_.calls_["GET config"];
  world.store_.Put("config", "main", World::Configuration(9));
  REQUIRE(world.Until([&] { return world.AllUseVersion(9); }));
  // One call of the watcher, and one more that was due.
  CHECK(world.store_.calls_["GET config"] - before <= 2);
}

// Guards against a fleet that misses changes when its watcher is gone, and
// against a loss that sends every daemon to the store.
TEST_CASE("the standby takes over from a lost watcher", "[gateway]") {
  World world;
  world.PutEverything();
  world.AddDistantDaemons(30);
  // The most capacity makes it the watcher; nothing listens at its address.
  const uint16_t closed = FreePort(world.loop_);
  world.store_.Put("clementinerill-daemons", "lost",
                   {{"failure_domain", "z1"},
                    {"relay", "127.0.0.1:" + std::to_string(closed)},
                    {"capacity", 1000}});
  for (const char* name : {"vm-1", "vm-2", "vm-3", "vm-4", "vm-5"}) {
    world.Start(world.Options(name));
  }
  REQUIRE(world.Until([&] { return world.AllReady(); }));
  const int before = world.store_.calls_["GET config"];
  const Instant changed = http::EventLoop::Now();
  world.store_.Put("config", "main", World::Configuration(9));
  REQUIRE(world.Until([&] { return world.AllUseVersion(9); }));
  CHECK(http::EventLoop::Now() - changed <=
        world.daemons_[0]->options_.max_propagation_delay_);
  CHECK(world.store_.calls_["GET config"] - before <= 2);
}

// Guards against an operator who cannot see why a replica gets no requests.
TEST_CASE("the status names the replicas and their standing", "[gateway]") {
  World world;
  world.PutEverything();
  GatewayOptions options = world.Options("vm-1");
  options.metrics_listen_ = Endpoint{"127.0.0.1", FreePort(world.loop_)};
  Daemon& daemon = world.Start(options);
  REQUIRE(world.Until([&] { return world.IsReady(daemon); }));
  world.store_.Put("evacuations", "z1", nlohmann::json::object());
  const auto status = [&](const std::string& path) {
    return nlohmann::json::parse(
        world.Get(*options.metrics_listen_, "", path).body_);
  };
  REQUIRE(
      world.Until([&] { return status("/status")["evacuated"].size() == 1; }));
  const auto all = status("/status");
  CHECK(all["configuration_version"] == 5);
  CHECK(all["services"].size() == 3);
  const auto one = status("/status/shard-a");
  REQUIRE(one["services"].size() == 1);
  const auto& replica = one["services"]["shard-a"]["replicas"][0];
  CHECK(replica["id"] == "a1");
  CHECK(replica["standing"] == "evacuated");
  CHECK(status("/status/none")["services"].empty());
  CHECK(world.Get(*options.metrics_listen_, "", "/other").status_ == 404);
}

// Guards against limits that stay as they were at the start.
TEST_CASE("settings that are read again change the limits", "[gateway]") {
  World world;
  world.PutEverything();
  Daemon& daemon = world.Start(world.Options("vm-1"));
  REQUIRE(world.Until([&] { return world.IsReady(daemon); }));
  world.store_.Put("servers", "c2", world.replicas_[1]->Entry("hold"));
  REQUIRE(world.Until([&] { return daemon.metrics_.replicas_.Value() == 4; }));
  // Both replicas refuse; without extra attempts only one of them is asked.
  int asked = 0;
  for (const size_t replica : {1, 2}) {
    world.replicas_[replica]->behave_ = [&asked](const auto& caller,
                                                 const auto&) {
      ++asked;
      caller->Respond({503, {{"X-Not-Executed", "1"}}, "", true}, false);
    };
  }
  const auto hold = [&] {
    return world.Get(daemon.options_.caller_listen_, "hold.example", "/h5/1");
  };
  CHECK(hold().status_ == 503);
  CHECK(asked == 2);
  asked = 0;
  GatewayOptions changed = daemon.options_;
  changed.limits_.extra_attempts_ = {0, 0, std::chrono::seconds(10)};
  daemon.traffic_.SetSettings(changed);
  CHECK(hold().status_ == 503);
  CHECK(asked == 1);
}

// Guards against a living daemon that is left out of the list for good after
// another one could not reach it.
TEST_CASE("a daemon whose record was deleted registers again", "[gateway]") {
  World world;
  world.PutEverything();
  Daemon& daemon = world.Start(world.Options("vm-1"));
  REQUIRE(world.Until([&] { return world.IsReady(daemon); }));
  const auto registrations = [&] {
    return world.store_.calls_["POST clementinerill-daemons"];
  };
  REQUIRE(world.Until([&] { return registrations() == 1; }));
  // The list is read a moment after the registration.
  REQUIRE(world.Until(
      [&] { return world.store_.calls_["GET clementinerill-daemons"] >= 2; }));
  world.store_.Remove("clementinerill-daemons", "vm-1");
  CHECK(world.Until([&] { return registrations() == 2; }));
}

// Guards against a stop that cuts requests or keeps the balancer sending.
TEST_CASE("a stop answers what is served and then ends", "[gateway]") {
  World world;
  world.PutEverything();
  Daemon& daemon = world.Start(world.Options("vm-1"));
  REQUIRE(world.Until([&] { return world.IsReady(daemon); }));
  bool stopped = false;
  daemon.traffic_.Drain([&stopped] { stopped = true; });
  CHECK_FALSE(world.IsReady(daemon));
  const auto answer = world.Sweep(daemon);
  CHECK(answer.status_ == 200);
  CHECK(FindHeader(answer.headers_, "Connection") == "close");
  CHECK(world.Until([&] { return stopped; }));
}

// Guards against a rollout whose verdict no operator learns of.
TEST_CASE("a bad version is rolled back in the store", "[gateway]") {
  World world;
  world.PutEverything();
  FakeReplica target(world.loop_, "t1");
  auto entry = target.Entry("hold");
  entry["version"] = "v2";
  world.store_.Put("servers", "t1", entry);
  world.store_.Put(
      "rollouts", "hold",
      {{"service", "hold"}, {"target_version", "v2"}, {"duration_s", 60}});
  target.behave_ = [](const FakeReplica::Caller& caller,
                      const http::HttpRequest&) {
    caller->Respond({500, {{"X-Server-Stamp", "s"}}, "", true}, false);
  };
  Daemon& daemon = world.Start(world.Options("vm-1"));
  REQUIRE(world.Until([&] { return world.IsReady(daemon); }));
  for (int i = 0; i < 400; ++i) {
    world.Get(daemon.options_.caller_listen_, "hold.example", "/h5/1",
              "id-" + std::to_string(i));
  }
  CHECK(target.requests_.size() <= 6);
  REQUIRE(world.Until([&] { return !world.store_.statuses_.empty(); }));
  const auto& status = world.store_.statuses_.at("rollouts/hold");
  CHECK(status["state"] == "rolled_back");
  CHECK(status["target_version"] == "v2");
}

// Guards against a bad version in a large fleet, of which each daemon sees too
// few answers to judge it.
TEST_CASE("daemons judge a version by what all of them saw", "[gateway]") {
  World world;
  world.PutEverything();
  world.AddDistantDaemons(30);
  FakeReplica target(world.loop_, "t1");
  auto entry = target.Entry("hold");
  entry["version"] = "v2";
  world.store_.Put("servers", "t1", entry);
  world.store_.Put(
      "rollouts", "hold",
      {{"service", "hold"}, {"target_version", "v2"}, {"duration_s", 60}});
  target.behave_ = [](const FakeReplica::Caller& caller,
                      const http::HttpRequest&) {
    caller->Respond({500, {{"X-Server-Stamp", "s"}}, "", true}, false);
  };
  for (int i = 0; i < 6; ++i) {
    world.Start(world.Options("vm-" + std::to_string(i)));
  }
  REQUIRE(world.Until([&] { return world.AllReady(); }));
  // Two answers of the target version for each daemon.
  for (int i = 0; i < 400; ++i) {
    const size_t daemon = target.requests_.size() / 2;
    if (daemon >= world.daemons_.size()) {
      break;
    }
    world.Get(world.daemons_[daemon]->options_.caller_listen_, "hold.example",
              "/h5/1", "id-" + std::to_string(i));
  }
  CHECK(target.requests_.size() <= 12);
  REQUIRE(world.Until([&] { return !world.store_.statuses_.empty(); }));
  CHECK(world.store_.statuses_.at("rollouts/hold")["state"] == "rolled_back");
}

}  // namespace
}  // namespace clementinerill::gateway
