#ifndef CLEMENTINERILL_TESTS_GATEWAY_AGGREGATION_FIXTURE_H_
#define CLEMENTINERILL_TESTS_GATEWAY_AGGREGATION_FIXTURE_H_

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "gateway/gateway_fixture.h"

namespace clementinerill::gateway {

inline constexpr int kShards = 20;

/// A fleet that is large enough for aggregators, in which the daemon under test
/// may be started beside an aggregator. The other daemons only have records.
struct AggregationFixture : GatewayFixture {
  AggregationFixture() {
    auto configuration = Configuration(5);
    auto& shards = configuration["routes"][0]["gather"];
    shards = nlohmann::json::array();
    for (int i = 0; i < kShards; ++i) {
      const std::string shard = "shard-" + std::to_string(i);
      shards.push_back(shard);
      shard_replicas_.push_back(
          std::make_unique<FakeReplica>(loop_, "r" + std::to_string(i)));
      store_.Put("servers", "r" + std::to_string(i),
                 shard_replicas_.back()->Entry(shard));
    }
    store_.Put("config", "main", configuration);
    for (int i = 0; i < 16; ++i) {
      PutRecord("other-" + std::to_string(i), FreePort(loop_), 100);
    }
  }

  void PutRecord(const std::string& name, uint16_t port, int capacity) {
    store_.Put("clementinerill-daemons", name,
               {{"failure_domain", "z1"},
                {"forward", "127.0.0.1:" + std::to_string(port)},
                {"capacity", capacity}});
  }

  Daemon& StartDaemon(const std::string& name, int capacity) {
    GatewayOptions options = Options(name);
    options.capacity_ = capacity;
    // Enough for a repeated query, although the fleet shares it.
    options.limits_.extra_attempts_ = {0.2, 100, std::chrono::seconds(10)};
    options.forward_listen_ = Endpoint{"127.0.0.1", FreePort(loop_)};
    Daemon& daemon = Start(options);
    REQUIRE(RunUntil([&] { return IsReady(daemon); }));
    return daemon;
  }

  /// Sends queries until the daemon has forwarded one; returns its response.
  /// They are so few that the aggregators have the capacity for all daemons.
  http::HttpResponse ForwardOne(const Daemon& daemon) {
    http::HttpResponse response;
    for (int i = 0; i < 30 && CountForwards(daemon) == 0; ++i) {
      RunFor(std::chrono::milliseconds(200));
      response = FanOut(daemon);
    }
    return response;
  }

  static uint64_t CountForwards(const Daemon& daemon) {
    uint64_t count = 0;
    for (const auto& entry : traffic::kForwardOutcomeNames) {
      count += daemon.metrics_.forwards_.Value(entry.value_);
    }
    return count;
  }

  /// Most requests that any replica received for one query id.
  [[nodiscard]] size_t MostRequests() const {
    size_t most = 0;
    for (const auto& replica : shard_replicas_) {
      most = std::max(most, replica->requests_.size());
    }
    return most;
  }

  void ForgetRequests() {
    for (const auto& replica : shard_replicas_) {
      replica->requests_.clear();
    }
  }

  std::vector<std::unique_ptr<FakeReplica>> shard_replicas_;
};

/// An aggregator whose behaviour the test decides.
struct FakeAggregator {
  using Caller = std::shared_ptr<http::ServerConnection>;
  using Handler = std::function<void(const Caller&, const http::HttpRequest&)>;

  FakeAggregator(AggregationFixture& fixture, Handler handler)
      : listener_(fixture.loop_, [this, handler](auto caller, auto request) {
          requests_.push_back(request);
          handler(caller, request);
        }) {
    fixture.PutRecord("aggregator", *listener_.Listen("127.0.0.1", 0), 1000);
  }

  std::vector<http::HttpRequest> requests_;
  http::Listener listener_;
};

inline void CheckComplete(const http::HttpResponse& response) {
  CHECK(response.status_ == 200);
  CHECK(http::FindHeader(response.headers_, "X-Missing-Parts") == "0");
}

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_TESTS_GATEWAY_AGGREGATION_FIXTURE_H_
