#include <string>

#include <catch2/catch.hpp>

#include "gateway/gateway_fixture.h"

namespace clementinerill::gateway {
namespace {

using http::FindHeader;

TEST_CASE("a fan-out query merges the parts of all shards", "[gateway]") {
  GatewayFixture fixture;
  fixture.PutEverything();
  Daemon& daemon = fixture.Start(fixture.Options("vm-1"));
  REQUIRE(fixture.RunUntil([&] { return fixture.IsReady(daemon); }));
  const auto response = fixture.FanOut(daemon);
  CHECK(response.status_ == 200);
  CHECK(response.body_ == std::string(16, 'b') + std::string(16, 'a'));
  CHECK(FindHeader(response.headers_, "X-Part-Stamps") == "stamp-a1, stamp-b1");
  CHECK(FindHeader(response.headers_, "X-Missing-Parts") == "0");
  const auto& sent = fixture.replicas_[0]->requests_.back();
  CHECK(FindHeader(sent.headers_, "X-Expect-Instance") == "a1");
  CHECK(std::stoi(std::string(
            FindHeader(sent.headers_, "X-Request-Deadline"))) <= 800);
}

// Guards against a 404 for routes that may exist: without a configuration a
// daemon does not know any route.
TEST_CASE("without a configuration requests get 503 with Retry-After",
          "[gateway]") {
  GatewayFixture fixture;
  Daemon& daemon = fixture.Start(fixture.Options("vm-1"));
  CHECK_FALSE(fixture.IsReady(daemon));
  const auto response = fixture.FanOut(daemon);
  CHECK(response.status_ == 503);
  CHECK_FALSE(FindHeader(response.headers_, "Retry-After").empty());
}

// Guards against falling back to an older version, for example after a delayed
// write, and against applying a configuration that is not valid.
TEST_CASE("a newer configuration is applied and an older one is ignored",
          "[gateway]") {
  GatewayFixture fixture;
  fixture.PutEverything();
  Daemon& daemon = fixture.Start(fixture.Options("vm-1"));
  REQUIRE(fixture.RunUntil([&] { return fixture.IsReady(daemon); }));
  const auto status = [&](const std::string& target) {
    return fixture.Get(daemon.options_.caller_listen_, "hold.example", target)
        .status_;
  };
  CHECK(status("/h5/1") == 200);
  fixture.store_.Put("config", "main", GatewayFixture::Configuration(9));
  CHECK(fixture.RunUntil([&] { return status("/h9/1") == 200; }));
  CHECK(status("/h5/1") == 404);
  fixture.store_.Put("config", "main", GatewayFixture::Configuration(7));
  fixture.store_.Put("config", "main", {{"version", "broken"}});
  fixture.store_.Put("servers", "a1", fixture.replicas_[0]->Entry("shard-a"));
  CHECK(status("/h9/1") == 200);
  CHECK(status("/h7/1") == 404);
}

// Guards against executing a non-idempotent request twice, and against telling
// the caller that it was not executed, when a replica closes the connection
// without responding.
TEST_CASE("a non-idempotent request without a response gives 502",
          "[gateway]") {
  GatewayFixture fixture;
  fixture.PutEverything();
  Daemon& daemon = fixture.Start(fixture.Options("vm-1"));
  REQUIRE(fixture.RunUntil([&] { return fixture.IsReady(daemon); }));
  fixture.replicas_[2]->handler_ = [](const FakeReplica::Caller& caller,
                                      const http::HttpRequest&) {
    caller->Close();
  };
  const auto response =
      fixture.Get(daemon.options_.caller_listen_, "hold.example", "/h5/1");
  CHECK(response.status_ == 502);
  CHECK(fixture.replicas_[2]->requests_.size() == 1);
}

// Guards against passing on a replica's 503 as a refusal although the replica
// may have executed the request; only a marked 503 is a refusal.
TEST_CASE("only a 503 marked as not executed is passed on as a refusal",
          "[gateway]") {
  GatewayFixture fixture;
  fixture.PutEverything();
  Daemon& daemon = fixture.Start(fixture.Options("vm-1"));
  REQUIRE(fixture.RunUntil([&] { return fixture.IsReady(daemon); }));
  std::string marker;
  fixture.replicas_[2]->handler_ = [&marker](const FakeReplica::Caller& caller,
                                             const http::HttpRequest&) {
    http::HttpResponse response{503, {{"X-Server-Stamp", "s"}}, "", true};
    if (!marker.empty()) {
      response.headers_.emplace_back(marker, "1");
    }
    caller->Respond(response, false);
  };
  const auto status = [&] {
    return fixture.Get(daemon.options_.caller_listen_, "hold.example", "/h5/1")
        .status_;
  };
  CHECK(status() == 502);
  marker = "X-Not-Executed";
  CHECK(status() == 503);
}

// Guards against sending requests to a draining replica, and to an address that
// another replica has taken over.
TEST_CASE("parts avoid draining and misdirected replicas", "[gateway]") {
  GatewayFixture fixture;
  fixture.PutEverything();
  FakeReplica other(fixture.loop_, "d1");
  fixture.store_.Put("servers", "d1", other.Entry("shard-a"));
  fixture.store_.Put("servers", "a1",
                     fixture.replicas_[0]->Entry("shard-a", "draining"));
  Daemon& daemon = fixture.Start(fixture.Options("vm-1"));
  REQUIRE(fixture.RunUntil([&] { return fixture.IsReady(daemon); }));
  CHECK(fixture.FanOut(daemon).body_ ==
        std::string(16, 'd') + std::string(16, 'b'));
  CHECK(fixture.replicas_[0]->requests_.empty());
  fixture.store_.Put("servers", "a1", fixture.replicas_[0]->Entry("shard-a"));
  other.handler_ = [](const FakeReplica::Caller& caller,
                      const http::HttpRequest&) {
    caller->Respond({421, {{"X-Instance-Id", "x"}}, "", true}, false);
  };
  REQUIRE(fixture.RunUntil([&] {
    return !fixture.replicas_[0]->requests_.empty() ||
           fixture.FanOut(daemon).status_ == 0;
  }));
  CHECK(fixture.FanOut(daemon).body_.find('a') != std::string::npos);
}

// Guards against replicas that keep working for a disconnected caller.
TEST_CASE("a disconnecting caller cancels its attempts", "[gateway]") {
  GatewayFixture fixture;
  fixture.PutEverything();
  Daemon& daemon = fixture.Start(fixture.Options("vm-1"));
  REQUIRE(fixture.RunUntil([&] { return fixture.IsReady(daemon); }));
  bool cancelled = false;
  for (const auto& replica : fixture.replicas_) {
    replica->handler_ = [&cancelled](const FakeReplica::Caller& caller,
                                     const http::HttpRequest&) {
      caller->OnDisconnect([&cancelled] { cancelled = true; });
    };
  }
  const auto connection = std::make_shared<http::ClientConnection>(
      fixture.loop_, "127.0.0.1", daemon.options_.caller_listen_.port_, 1000);
  http::ExchangeRequest request;
  request.bytes_ =
      "GET /s/1 HTTP/1.1\r\nHost: search.example\r\nX-Request-Id: 1\r\n\r\n";
  connection->Start(std::move(request), [](const http::ExchangeResult&) {});
  REQUIRE(fixture.RunUntil(
      [&] { return !fixture.replicas_[0]->requests_.empty(); }));
  connection->Close();
  CHECK(fixture.RunUntil([&] { return cancelled; }));
}

// Guards against a daemon that stops watching after the store has compacted its
// history or was unavailable.
TEST_CASE("the store is followed through compaction and outages", "[gateway]") {
  GatewayFixture fixture;
  fixture.PutEverything();
  Daemon& daemon = fixture.Start(fixture.Options("vm-1"));
  REQUIRE(fixture.RunUntil([&] { return fixture.IsReady(daemon); }));
  fixture.store_.Put("config", "main", GatewayFixture::Configuration(6));
  fixture.store_.Compact();
  fixture.store_.SetDown(true);
  fixture.store_.Put("config", "main", GatewayFixture::Configuration(8));
  fixture.store_.Compact();
  CHECK(fixture.FanOut(daemon).status_ == 200);
  fixture.store_.SetDown(false);
  CHECK(fixture.RunUntil([&] {
    return fixture.Get(daemon.options_.caller_listen_, "hold.example", "/h8/1")
               .status_ == 200;
  }));
}

// Guards against a daemon that cannot start while the store is unavailable
// although another daemon has a complete copy.
TEST_CASE("a daemon starts from a seed while the store is down", "[gateway]") {
  GatewayFixture fixture;
  fixture.PutEverything();
  Daemon& first = fixture.Start(fixture.Options("vm-1"));
  REQUIRE(fixture.RunUntil([&] { return fixture.IsReady(first); }));
  fixture.store_.SetDown(true);
  GatewayOptions options = fixture.Options("vm-2");
  options.seeds_ = {*first.options_.relay_listen_};
  Daemon& second = fixture.Start(options);
  CHECK(fixture.RunUntil([&] { return fixture.IsReady(second); }));
  CHECK(fixture.FanOut(second).status_ == 200);
}

// Guards against store requests that grow with the size of the fleet.
TEST_CASE("most daemons of a large fleet do not call the store", "[gateway]") {
  GatewayFixture fixture;
  fixture.PutEverything();
  fixture.AddRemoteDaemons(30);
  for (const char* name : {"vm-1", "vm-2", "vm-3", "vm-4", "vm-5"}) {
    fixture.Start(fixture.Options(name));
  }
  REQUIRE(fixture.RunUntil([&] { return fixture.AllReady(); }));
  const int before = fixture.store_.request_counts_["GET config"];
  fixture.store_.Put("config", "main", GatewayFixture::Configuration(9));
  REQUIRE(fixture.RunUntil([&] { return fixture.AllUseVersion(9); }));
  // The watch that gets the change, and one that may end in the meantime.
  CHECK(fixture.store_.request_counts_["GET config"] - before <= 2);
}

// Guards against a fleet that misses changes when its watcher has failed, and
// against every daemon then turning to the store.
TEST_CASE("the standby takes over from a failed watcher", "[gateway]") {
  GatewayFixture fixture;
  fixture.PutEverything();
  fixture.AddRemoteDaemons(30);
  // Elected as watcher by its capacity; nothing listens at its address.
  const uint16_t closed = FreePort(fixture.loop_);
  fixture.store_.Put("clementinerill-daemons", "lost",
                     {{"failure_domain", "z1"},
                      {"relay", "127.0.0.1:" + std::to_string(closed)},
                      {"capacity", 1000}});
  for (const char* name : {"vm-1", "vm-2", "vm-3", "vm-4", "vm-5"}) {
    fixture.Start(fixture.Options(name));
  }
  REQUIRE(fixture.RunUntil([&] { return fixture.AllReady(); }));
  const int before = fixture.store_.request_counts_["GET config"];
  const Instant changed = http::EventLoop::Now();
  fixture.store_.Put("config", "main", GatewayFixture::Configuration(9));
  REQUIRE(fixture.RunUntil([&] { return fixture.AllUseVersion(9); }));
  CHECK(http::EventLoop::Now() - changed <=
        fixture.daemons_[0]->options_.max_propagation_delay_);
  CHECK(fixture.store_.request_counts_["GET config"] - before <= 2);
}

// Guards against a status page that does not show why a replica gets no
// requests.
TEST_CASE("the status lists the replicas and their standing", "[gateway]") {
  GatewayFixture fixture;
  fixture.PutEverything();
  GatewayOptions options = fixture.Options("vm-1");
  options.metrics_listen_ = Endpoint{"127.0.0.1", FreePort(fixture.loop_)};
  Daemon& daemon = fixture.Start(options);
  REQUIRE(fixture.RunUntil([&] { return fixture.IsReady(daemon); }));
  fixture.store_.Put("evacuations", "z1", nlohmann::json::object());
  const auto status = [&](const std::string& path) {
    return nlohmann::json::parse(
        fixture.Get(*options.metrics_listen_, "", path).body_);
  };
  REQUIRE(fixture.RunUntil(
      [&] { return status("/status")["evacuated"].size() == 1; }));
  const auto all = status("/status");
  CHECK(all["configuration_version"] == 5);
  CHECK(all["services"].size() == 3);
  const auto one = status("/status/shard-a");
  REQUIRE(one["services"].size() == 1);
  const auto& replica = one["services"]["shard-a"]["replicas"][0];
  CHECK(replica["id"] == "a1");
  CHECK(replica["standing"] == "evacuated");
  CHECK(status("/status/none")["services"].empty());
  CHECK(fixture.Get(*options.metrics_listen_, "", "/other").status_ == 404);
}

// Guards against limits that keep their values from start-up.
TEST_CASE("reloaded settings change the limits", "[gateway]") {
  GatewayFixture fixture;
  fixture.PutEverything();
  Daemon& daemon = fixture.Start(fixture.Options("vm-1"));
  REQUIRE(fixture.RunUntil([&] { return fixture.IsReady(daemon); }));
  fixture.store_.Put("servers", "c2", fixture.replicas_[1]->Entry("hold"));
  REQUIRE(
      fixture.RunUntil([&] { return daemon.metrics_.replicas_.Value() == 4; }));
  // Both replicas refuse. Without extra attempts only one gets the request.
  int asked = 0;
  for (const size_t replica : {1, 2}) {
    fixture.replicas_[replica]->handler_ = [&asked](const auto& caller,
                                                    const auto&) {
      ++asked;
      caller->Respond({503, {{"X-Not-Executed", "1"}}, "", true}, false);
    };
  }
  const auto hold = [&] {
    return fixture.Get(daemon.options_.caller_listen_, "hold.example", "/h5/1");
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

// Guards against a running daemon that stays unregistered after another daemon,
// which could not reach it, has deleted its record.
TEST_CASE("a daemon whose record was deleted registers again", "[gateway]") {
  GatewayFixture fixture;
  fixture.PutEverything();
  Daemon& daemon = fixture.Start(fixture.Options("vm-1"));
  REQUIRE(fixture.RunUntil([&] { return fixture.IsReady(daemon); }));
  const auto registrations = [&] {
    return fixture.store_.request_counts_["POST clementinerill-daemons"];
  };
  REQUIRE(fixture.RunUntil([&] { return registrations() == 1; }));
  // The list is read after a delay following the registration.
  REQUIRE(fixture.RunUntil([&] {
    return fixture.store_.request_counts_["GET clementinerill-daemons"] >= 2;
  }));
  fixture.store_.Remove("clementinerill-daemons", "vm-1");
  CHECK(fixture.RunUntil([&] { return registrations() == 2; }));
}

// Guards against a rollout whose verdict is not written to the store.
TEST_CASE("a bad version is rolled back in the store", "[gateway]") {
  GatewayFixture fixture;
  fixture.PutEverything();
  FakeReplica target(fixture.loop_, "t1");
  auto entry = target.Entry("hold");
  entry["version"] = "v2";
  fixture.store_.Put("servers", "t1", entry);
  fixture.store_.Put(
      "rollouts", "hold",
      {{"service", "hold"}, {"target_version", "v2"}, {"duration_s", 12}});
  target.handler_ = [](const FakeReplica::Caller& caller,
                       const http::HttpRequest&) {
    caller->Respond({500, {{"X-Server-Stamp", "s"}}, "", true}, false);
  };
  Daemon& daemon = fixture.Start(fixture.Options("vm-1"));
  REQUIRE(fixture.RunUntil([&] { return fixture.IsReady(daemon); }));
  for (int i = 0; i < 2000 && fixture.store_.statuses_.empty(); ++i) {
    fixture.Get(daemon.options_.caller_listen_, "hold.example", "/h5/1",
                "id-" + std::to_string(i));
    fixture.RunFor(std::chrono::milliseconds(5));
  }
  REQUIRE(fixture.RunUntil([&] { return !fixture.store_.statuses_.empty(); }));
  for (int i = 2000; i < 2400; ++i) {
    fixture.Get(daemon.options_.caller_listen_, "hold.example", "/h5/1",
                "id-" + std::to_string(i));
  }
  CHECK(target.requests_.size() <= 6);
  const auto& status = fixture.store_.statuses_.at("rollouts/hold");
  CHECK(status["state"] == "rolled_back");
  CHECK(status["target_version"] == "v2");
}

// Guards against missing a bad version in a large fleet, where each daemon
// alone sees too few responses to judge it.
TEST_CASE("a rollout verdict aggregates the evidence of all daemons",
          "[gateway]") {
  GatewayFixture fixture;
  fixture.PutEverything();
  fixture.AddRemoteDaemons(30);
  FakeReplica target(fixture.loop_, "t1");
  auto entry = target.Entry("hold");
  entry["version"] = "v2";
  fixture.store_.Put("servers", "t1", entry);
  fixture.store_.Put(
      "rollouts", "hold",
      {{"service", "hold"}, {"target_version", "v2"}, {"duration_s", 12}});
  target.handler_ = [](const FakeReplica::Caller& caller,
                       const http::HttpRequest&) {
    caller->Respond({500, {{"X-Server-Stamp", "s"}}, "", true}, false);
  };
  for (int i = 0; i < 6; ++i) {
    fixture.Start(fixture.Options("vm-" + std::to_string(i)));
  }
  REQUIRE(fixture.RunUntil([&] { return fixture.AllReady(); }));
  // Two responses of the target version for each daemon.
  for (int i = 0; i < 2000 && fixture.store_.statuses_.empty(); ++i) {
    const size_t daemon = target.requests_.size() / 2;
    if (daemon >= fixture.daemons_.size()) {
      break;
    }
    fixture.Get(fixture.daemons_[daemon]->options_.caller_listen_,
                "hold.example", "/h5/1", "id-" + std::to_string(i));
    fixture.RunFor(std::chrono::milliseconds(5));
  }
  CHECK(target.requests_.size() <= 12);
  REQUIRE(fixture.RunUntil([&] { return !fixture.store_.statuses_.empty(); }));
  CHECK(fixture.store_.statuses_.at("rollouts/hold")["state"] == "rolled_back");
}

}  // namespace
}  // namespace clementinerill::gateway
