#ifndef CLEMENTINERILL_TESTS_GATEWAY_GATEWAY_FIXTURE_H_
#define CLEMENTINERILL_TESTS_GATEWAY_GATEWAY_FIXTURE_H_

#include <unistd.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/control_loop.h"
#include "gateway/fake_store.h"
#include "gateway/traffic_server.h"
#include "http/http.h"
#include "http/test_server.h"
#include "logging/log_threshold.h"
#include "platform/node_settings.h"
#include "platform/store_codec.h"

namespace clementinerill::gateway {

/// A replica that responds with a body of its id's first letter, 16 times,
/// unless `handler_` is set.
struct FakeReplica {
  using Caller = std::shared_ptr<http::ServerConnection>;

  FakeReplica(http::EventLoop& loop, std::string id)
      : id_(std::move(id)), listener_(loop, [this](auto caller, auto request) {
          requests_.push_back(request);
          if (handler_) {
            handler_(caller, request);
            return;
          }
          Respond(caller, request);
        }) {
    port_ = *listener_.Listen("127.0.0.1", 0);
  }

  void Respond(const Caller& caller, const http::HttpRequest& request) const {
    http::HttpResponse response;
    response.status_ = 200;
    response.headers_ = {
        {"X-Request-Id",
         std::string(http::FindHeader(request.headers_, "X-Request-Id"))},
        {"X-Server-Stamp", "stamp-" + id_},
        {"X-Server-Load", "1,0,4"}};
    response.headers_.insert(response.headers_.end(), extra_headers_.begin(),
                             extra_headers_.end());
    response.body_ = std::string(16, id_[0]);
    caller->Respond(response, false);
  }

  [[nodiscard]] nlohmann::json Entry(const std::string& service,
                                     const std::string& state = "ready") const {
    return {{"service", service},
            {"address", "127.0.0.1:" + std::to_string(port_)},
            {"zone", "z1"},
            {"version", "v1"},
            {"slots", 4},
            {"state", state},
            {"cold_remaining_ms", 0},
            {"seq", 1},
            {"born", 1}};
  }

  std::string id_;
  http::Listener listener_;
  uint16_t port_ = 0;
  std::vector<http::HttpRequest> requests_;
  http::Headers extra_headers_;  ///< Added to each response.
  std::function<void(const Caller&, const http::HttpRequest&)> handler_;
};

/// A daemon whose traffic and control threads share the event loop of the test.
struct Daemon {
  Daemon(http::EventLoop& loop, GatewayOptions options)
      : options_(std::move(options)),
        traffic_(loop, options_, metrics_),
        control_(
            loop,
            options_,
            metrics_,
            [this](auto view) { traffic_.SetView(view); },
            [this](const auto& shares) { traffic_.SetVersionShares(shares); }) {
    traffic_.SetOnEvidence([this](const traffic::VersionComparison& seen) {
      control_.RecordEvidence(seen);
    });
    control_.SetOnProof([this](const organisations::ViewProof& proof) {
      traffic_.SetViewProof(proof);
    });
    if (UsageControl* usage = control_.Usage()) {
      traffic_.SetOnUsage(
          [this](const usage::Batch& batch) { control_.RecordUsage(batch); });
      usage->SetPublish(
          [this](const auto& status) { traffic_.SetUsageStatus(status); });
    }
    REQUIRE(traffic_.Listen());
    control_.Start();
  }

  GatewayOptions options_;
  GatewayMetrics metrics_;
  TrafficServer traffic_;
  ControlLoop control_;
};

/// Returns a port on which nothing listens.
///
/// It lies below the range from which the system takes ports of connections and
/// of listeners without a port: one of that range may be taken before a daemon
/// listens on it.
inline uint16_t FreePort(http::EventLoop& loop) {
  constexpr uint16_t kFirst = 10000;
  constexpr uint16_t kCount = 20000;
  // Processes that run at the same time begin far apart.
  constexpr int kStride = 997;
  static int next = static_cast<int>(getpid()) * kStride % kCount;
  const auto loopback = boost::asio::ip::make_address("127.0.0.1");
  for (;;) {
    const auto port = static_cast<uint16_t>(kFirst + next++ % kCount);
    boost::asio::ip::tcp::acceptor acceptor(loop.Context());
    boost::system::error_code error;
    acceptor.open(boost::asio::ip::tcp::v4());
    acceptor.bind({loopback, port}, error);
    if (!error) {
      return port;
    }
  }
}

/// A store, replicas of two shards and of a service without shards, and
/// daemons.
struct GatewayFixture {
  GatewayFixture() {
    // The log of many daemons would hide the test result.
    LogThreshold().store(LogLevel::kError);
    for (const char* id : {"a1", "b1", "c1"}) {
      replicas_.push_back(std::make_unique<FakeReplica>(loop_, id));
    }
  }

  static nlohmann::json Configuration(int version) {
    return {{"version", version},
            {"routes",
             {{{"name", "sweep"},
               {"host", "search.example"},
               {"path_prefix", "/s/"},
               {"kind", "safe"},
               {"timeout_ms", 1000},
               {"goal_ms", 200},
               {"gather", {"shard-a", "shard-b"}},
               {"max_attempts", 2},
               {"top_k", 5},
               {"min_share", 0.5}},
              {{"name", "hold"},
               {"host", "hold.example"},
               {"path_prefix", "/h" + std::to_string(version) + "/"},
               {"kind", "unsafe"},
               {"timeout_ms", 1000},
               {"goal_ms", 500},
               {"service", "hold"},
               {"max_attempts", 2}}}},
            {"services", nlohmann::json::array()}};
  }

  void PutEverything() {
    store_.Put("config", "main", Configuration(5));
    store_.Put("servers", "a1", replicas_[0]->Entry("shard-a"));
    store_.Put("servers", "b1", replicas_[1]->Entry("shard-b"));
    store_.Put("servers", "c1", replicas_[2]->Entry("hold"));
    store_.Put("servers", "forged", {{"service", 7}});
  }

  GatewayOptions Options(const std::string& name) {
    GatewayOptions options;
    options.name_ = name;
    options.failure_domain_ = "z1";
    options.caller_listen_ = {"127.0.0.1", FreePort(loop_)};
    options.ready_listen_ = {"127.0.0.1", FreePort(loop_)};
    options.relay_listen_ = Endpoint{"127.0.0.1", FreePort(loop_)};
    options.metrics_listen_ = Endpoint{"127.0.0.1", FreePort(loop_)};
    options.store_ = {"127.0.0.1", store_.Port()};
    options.names_ = platform_adapter::PlatformWireNames();
    options.store_codec_ = platform_adapter::MakeStoreCodec();
    return options;
  }

  Daemon& Start(const GatewayOptions& options) {
    daemons_.push_back(std::make_unique<Daemon>(loop_, options));
    return *daemons_.back();
  }

  bool RunUntil(const std::function<bool()>& done) {
    return http::RunUntil(loop_, done);
  }

  void RunFor(Duration duration) {
    const Instant end = http::EventLoop::Now() + duration;
    RunUntil([end] { return http::EventLoop::Now() >= end; });
  }

  /// Time until all daemons use a configuration that is written now.
  Duration TimeUntilInForce(int version) {
    const Instant written = http::EventLoop::Now();
    store_.Put("config", "main", Configuration(version));
    RunUntil([&] { return AllUseVersion(version); });
    return http::EventLoop::Now() - written;
  }

  /// Registers daemons of another failure domain that do not run, so that the
  /// fleet is large enough for relays.
  void AddRemoteDaemons(int count) {
    for (int i = 0; i < count; ++i) {
      store_.Put("clementinerill-daemons", "far-" + std::to_string(i),
                 {{"failure_domain", "z2"}});
    }
  }

  bool AllReady() {
    return std::all_of(daemons_.begin(), daemons_.end(),
                       [this](const auto& d) { return IsReady(*d); });
  }

  bool AllUseVersion(int64_t version) {
    return std::all_of(daemons_.begin(), daemons_.end(),
                       [version](const auto& daemon) {
                         return daemon->metrics_.version_.Value() == version;
                       });
  }

  bool IsReady(const Daemon& daemon) {
    return Get(daemon.options_.ready_listen_, "", "/ready").status_ == 200;
  }

  /// Whether the daemon knows the registered daemons, by which it shares
  /// limits.
  bool IsRegistered(const Daemon& daemon) {
    const auto status = nlohmann::json::parse(
        Get(*daemon.options_.metrics_listen_, "", "/status").body_);
    return !status["daemons"].empty();
  }

  /// Sends a request on a new connection. The status is 0 if the connection was
  /// closed without a response.
  http::HttpResponse Get(const Endpoint& endpoint,
                         const std::string& host,
                         const std::string& target,
                         const std::string& id = "id-1") {
    const auto connection = std::make_shared<http::ClientConnection>(
        loop_, endpoint.address_, endpoint.port_, 1 << 20);
    std::optional<http::ExchangeResult> result;
    http::ExchangeRequest request;
    request.bytes_ = "GET " + target + " HTTP/1.1\r\nHost: " + host +
                     "\r\nX-Request-Id: " + id +
                     "\r\nX-Request-Deadline: 800\r\n\r\n";
    connection->Start(std::move(request), [&result](http::ExchangeResult r) {
      result = std::move(r);
    });
    RunUntil([&result] { return result.has_value(); });
    connection->Close();
    return result ? result->response_ : http::HttpResponse{};
  }

  http::HttpResponse FanOut(const Daemon& daemon) {
    return Get(daemon.options_.caller_listen_, "search.example", "/s/1");
  }

  http::EventLoop loop_;
  FakeStore store_{loop_};
  std::vector<std::unique_ptr<FakeReplica>> replicas_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_TESTS_GATEWAY_GATEWAY_FIXTURE_H_
