// Measures the CPU time of a gateway's traffic thread per part of a fan-out
// query: receiving requests, sending parts to replicas and merging responses.
// Replicas and callers run on separate threads and are not measured.

#include <pthread.h>

#include <atomic>
#include <cstdio>
#include <ctime>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "gateway/traffic_server.h"
#include "http/http.h"
#include "logging/log_threshold.h"
#include "platform/node_settings.h"

namespace clementinerill::gateway {
namespace {

// CPU time per part that is available at the planned size: two fifths of a core
// for 9,818 parts/s per daemon.
constexpr double kMaxCpuMicros = 40;
constexpr int kQueries = 3000;
constexpr int kWarmUpQueries = 300;
// Concurrent fan-out queries.
constexpr int kCallers = 4;
constexpr const char* kAddress = "127.0.0.1";

using Connection = std::shared_ptr<http::ServerConnection>;

/// An event loop that runs on a dedicated thread.
class LoopThread {
 public:
  LoopThread() : thread_([this] { loop_.Run(); }) {}
  ~LoopThread() {
    loop_.Stop();
    thread_.join();
  }
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

  /// Runs `task` on the thread and waits until it has finished.
  void RunAndWait(const std::function<void()>& task) {
    std::atomic<bool> done{false};
    loop_.Post([&task, &done] {
      task();
      done = true;
    });
    while (!done) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

  [[nodiscard]] double CpuSeconds() {
    clockid_t clock{};
    pthread_getcpuclockid(thread_.native_handle(), &clock);
    timespec time{};
    clock_gettime(clock, &time);
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_nsec) * 1e-9;
  }

  http::EventLoop loop_;

 private:
  std::thread thread_;
};

// Responds like a replica of the users, with a signature and 12 records.
void RespondToPart(const Connection& connection,
                   const http::HttpRequest& request) {
  http::HttpResponse response;
  response.status_ = 200;
  response.headers_ = {{"X-Request-Id", std::string(http::FindHeader(
                                            request.headers_, "X-Request-Id"))},
                       {"X-Server-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1"},
                       {"X-Server-Load", "1,0,4"},
                       {"Keep-Alive", "timeout=20"}};
  for (char c = 'a'; c < 'a' + 12; ++c) {
    response.body_ += std::string(16, c);
  }
  connection->Respond(response, false);
}

std::shared_ptr<const traffic::TrafficView> MakeView(int shards,
                                                     uint16_t port) {
  auto configuration = std::make_shared<traffic::TrafficConfiguration>();
  auto view = std::make_shared<traffic::TrafficView>();
  traffic::RouteRule route;
  route.name_ = "sweep";
  route.host_ = "search.example";
  route.path_prefix_ = "/s/";
  route.kind_ = traffic::RequestKind::kIdempotent;
  route.timeout_ = std::chrono::seconds(2);
  route.objective_ = std::chrono::milliseconds(500);
  route.max_attempts_ = 2;
  route.record_limit_ = 10;
  for (int i = 0; i < shards; ++i) {
    const std::string shard = "shard-" + std::to_string(i);
    route.shards_.push_back(shard);
    for (const char* domain : {"a", "b", "c"}) {
      traffic::ReplicaEntry entry;
      entry.id_ = shard + domain;
      entry.service_ = shard;
      entry.address_ = kAddress;
      entry.port_ = port;
      entry.failure_domain_ = domain;
      entry.slots_ = 4;
      view->replicas_.push_back(entry);
    }
  }
  configuration->version_ = 1;
  traffic::AddRoute(*configuration, std::move(route));
  view->configuration_ = configuration;
  view->daemons_["a"] = 1;
  return view;
}

/// Sends fan-out queries sequentially on one connection.
class FanOutCaller {
 public:
  FanOutCaller(http::EventLoop& loop,
               uint16_t port,
               std::atomic<int>& remaining)
      : connection_(std::make_shared<http::ClientConnection>(loop,
                                                             kAddress,
                                                             port,
                                                             1 << 20)),
        remaining_(remaining) {}

  void SendNext() {
    const int number = remaining_--;
    if (number <= 0) {
      is_done_ = true;
      return;
    }
    http::ExchangeRequest request;
    request.bytes_ =
        "GET /s/2f HTTP/1.1\r\nHost: search.example\r\nX-Request-Id: id-" +
        std::to_string(number) +
        "\r\nX-Request-Deadline: 1200\r\nUser-Agent: bench\r\n\r\n";
    connection_->Start(std::move(request),
                       [this](const http::ExchangeResult& result) {
                         failed_ += result.response_.status_ == 200 ? 0 : 1;
                         SendNext();
                       });
  }

  std::atomic<bool> is_done_{false};
  int failed_ = 0;

 private:
  std::shared_ptr<http::ClientConnection> connection_;
  std::atomic<int>& remaining_;
};

// Sends `queries` fan-out queries; returns whether all responses were 200.
bool SendFanOutQueries(LoopThread& callers, uint16_t port, int queries) {
  std::atomic<int> remaining{queries};
  std::vector<std::unique_ptr<FanOutCaller>> senders;
  senders.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    senders.push_back(
        std::make_unique<FanOutCaller>(callers.loop_, port, remaining));
  }
  int failed = 0;
  callers.RunAndWait([&senders] {
    for (const auto& sender : senders) {
      sender->SendNext();
    }
  });
  for (const auto& sender : senders) {
    while (!sender->is_done_) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    failed += sender->failed_;
  }
  callers.RunAndWait([&senders] { senders.clear(); });
  return failed == 0;
}

uint16_t FreePort() {
  boost::asio::io_context context;
  const boost::asio::ip::tcp::acceptor acceptor(
      context, {boost::asio::ip::make_address(kAddress), 0});
  return acceptor.local_endpoint().port();
}

bool MeasureFanOut(int shards) {
  LoopThread replicas;
  LoopThread callers;
  LoopThread daemon;
  std::unique_ptr<http::Listener> listener;
  uint16_t replica_port = 0;
  replicas.RunAndWait([&] {
    listener = std::make_unique<http::Listener>(replicas.loop_, RespondToPart);
    replica_port = *listener->Listen(kAddress, 0);
  });
  GatewayOptions options;
  options.failure_domain_ = "a";
  options.caller_listen_ = {kAddress, FreePort()};
  options.ready_listen_ = {kAddress, FreePort()};
  options.names_ = platform_adapter::PlatformWireNames();
  GatewayMetrics metrics;
  std::unique_ptr<TrafficServer> server;
  daemon.RunAndWait([&] {
    server = std::make_unique<TrafficServer>(daemon.loop_, options, metrics);
    if (server->Listen()) {
      server->SetView(MakeView(shards, replica_port));
    }
  });
  const uint16_t port = options.caller_listen_.port_;
  bool complete = SendFanOutQueries(callers, port, kWarmUpQueries);
  const double before = daemon.CpuSeconds();
  complete = SendFanOutQueries(callers, port, kQueries) && complete;
  const double used = daemon.CpuSeconds() - before;
  daemon.RunAndWait([&server] { server.reset(); });
  replicas.RunAndWait([&listener] { listener.reset(); });
  const double micros = used * 1e6 / (kQueries * shards);
  const bool ok = complete && micros <= kMaxCpuMicros;
  std::printf(
      "{\"name\": \"gateway_cpu_a_part_fan_out_%d\", \"value\": %.1f, "
      "\"bound\": %.1f, \"unit\": \"us\", \"ok\": %s}\n",
      shards, micros, kMaxCpuMicros, ok ? "true" : "false");
  return ok;
}

}  // namespace
}  // namespace clementinerill::gateway

int main() {
  clementinerill::LogThreshold().store(clementinerill::LogLevel::kError);
  bool ok = true;
  for (const int shards : {10, 54}) {
    ok = clementinerill::gateway::MeasureFanOut(shards) && ok;
  }
  return ok ? 0 : 1;
}
