#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "gateway/gateway_fixture.h"
#include "http/test_server.h"

namespace clementinerill::gateway {
namespace {

using std::chrono::milliseconds;

// Memory of the smallest VMs, for which a daemon is set up by default.
constexpr uint64_t kMemoryBytes = 160'000'000;

/// Memory of this process in use, including that of the fakes.
uint64_t ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  uint64_t total_pages = 0;
  uint64_t resident_pages = 0;
  file >> total_pages >> resident_pages;
  return resident_pages * static_cast<uint64_t>(sysconf(_SC_PAGESIZE));
}

/// A daemon whose service `hold` has one replica, which sends what the test
/// chooses.
struct BufferFixture : GatewayFixture {
  explicit BufferFixture(http::TestServer::Reply reply)
      : faulty_(loop_, [reply](const std::string& /*head*/) { return reply; }) {
    PutEverything();
    nlohmann::json entry = replicas_[2]->Entry("hold");
    entry["address"] = "127.0.0.1:" + std::to_string(faulty_.Port());
    store_.Put("servers", "c1", entry);
    daemon_ = &Start(Options("vm-1"));
    REQUIRE(RunUntil([this] { return IsReady(*daemon_); }));
  }

  /// Starts requests for `hold` that take up to 800 ms.
  void StartCalls(int count) {
    const Endpoint& endpoint = daemon_->options_.caller_listen_;
    for (int i = 0; i < count; ++i) {
      auto connection = std::make_shared<http::ClientConnection>(
          loop_, endpoint.address_, endpoint.port_, 1 << 20);
      http::ExchangeRequest request;
      request.bytes_ =
          "GET /h5/1 HTTP/1.1\r\nHost: hold.example\r\nX-Request-Id: call-" +
          std::to_string(i) + "\r\nX-Request-Deadline: 800\r\n\r\n";
      connection->Start(
          std::move(request),
          [this](const http::ExchangeResult& /*result*/) { ++ended_calls_; });
      calls_.push_back(std::move(connection));
    }
  }

  http::TestServer faulty_;
  Daemon* daemon_ = nullptr;
  std::vector<std::shared_ptr<http::ClientConnection>> calls_;
  int ended_calls_ = 0;
};

// Guards against a replica that ends a daemon, and with it the requests for all
// other replicas, by sending bytes without end in many responses at once.
TEST_CASE("bytes without end stay within the memory of the VM",
          "[gateway][buffers]") {
  const std::string head = "HTTP/1.1 200 OK\r\nX-Server-Stamp: stamp\r\n";
  const std::string filler(64 * 1024, 'x');
  const auto reply = GENERATE_COPY(values<http::TestServer::Reply>(
      {{head + "\r\n", false, filler},
       {head + "Transfer-Encoding: chunked\r\n\r\n", false,
        "10000\r\n" + filler + "\r\n"},
       {head + "Content-Length: 16777000\r\n\r\n", false, filler}}));
  INFO(reply.bytes_);
  BufferFixture fixture(reply);
  // Without what earlier tests have freed and the allocator keeps.
  malloc_trim(0);
  const uint64_t before = ResidentBytes();
  uint64_t most = before;
  constexpr int kCalls = 60;
  fixture.StartCalls(kCalls);
  int served = 0;
  int sweeps = 0;
  while (fixture.ended_calls_ < kCalls && sweeps < 5000) {
    ++sweeps;
    served += fixture.FanOut(*fixture.daemon_).status_ == 200 ? 1 : 0;
    most = std::max(most, ResidentBytes());
  }
  CHECK(fixture.ended_calls_ == kCalls);
  CHECK(served == sweeps);
  CHECK(most - before < kMemoryBytes);
}

// Guards against callers that end a daemon by uploads that stop before their
// end.
TEST_CASE("uploads that stop short stay within the memory of the VM",
          "[gateway][buffers]") {
  BufferFixture fixture({"", false});
  const Endpoint& endpoint = fixture.daemon_->options_.caller_listen_;
  // The limit of a body is 1 MiB if none is configured.
  const std::string upload =
      "POST /h5/1 HTTP/1.1\r\nHost: hold.example\r\nX-Request-Id: up\r\n"
      "Content-Length: 1000001\r\n\r\n" +
      std::string(1000000, 'x');
  // Without what earlier tests have freed and the allocator keeps.
  malloc_trim(0);
  const uint64_t before = ResidentBytes();
  constexpr int kUploads = 400;
  std::list<boost::asio::ip::tcp::socket> callers;
  int sent = 0;
  for (int i = 0; i < kUploads; ++i) {
    auto& caller = callers.emplace_back(fixture.loop_.Context());
    caller.connect(
        {boost::asio::ip::make_address(endpoint.address_), endpoint.port_});
    boost::asio::async_write(
        caller, boost::asio::buffer(upload),
        [&sent](const auto& /*error*/, size_t /*size*/) { ++sent; });
  }
  uint64_t most = before;
  fixture.RunUntil([&] {
    most = std::max(most, ResidentBytes());
    return sent == kUploads;
  });
  CHECK(sent == kUploads);
  // The kernel may have taken bytes that the daemon has not read yet.
  const Instant end = http::EventLoop::Now() + milliseconds(1500);
  fixture.RunUntil([&] {
    most = std::max(most, ResidentBytes());
    return http::EventLoop::Now() >= end;
  });
  CHECK(fixture.FanOut(*fixture.daemon_).status_ == 200);
  CHECK(most - before < kMemoryBytes);
}

/// A caller of the service `hold` that sends one request and reads nothing.
boost::asio::ip::tcp::socket CallWithoutReading(http::EventLoop& loop,
                                                const Endpoint& endpoint,
                                                int number) {
  boost::asio::ip::tcp::socket caller(loop.Context());
  caller.open(boost::asio::ip::tcp::v4());
  // The kernel then takes little of the response for the caller.
  caller.set_option(boost::asio::socket_base::receive_buffer_size(4096));
  caller.connect(
      {boost::asio::ip::make_address(endpoint.address_), endpoint.port_});
  const std::string request =
      "GET /h5/1 HTTP/1.1\r\nHost: hold.example\r\nX-Request-Id: unread-" +
      std::to_string(number) + "\r\nX-Request-Deadline: 800\r\n\r\n";
  boost::asio::write(caller, boost::asio::buffer(request));
  return caller;
}

// Guards against callers that end a daemon by asking for large responses and
// not reading them.
TEST_CASE("responses that callers do not read stay within the memory of the VM",
          "[gateway][buffers]") {
  struct Load {
    int calls_;
    size_t body_bytes_;
  };
  // The kernel takes a part of each response, up to 4 MB.
  const auto [calls, body_bytes] =
      GENERATE(values<Load>({{300, 1'000'000}, {60, 6'000'000}}));
  BufferFixture fixture(
      {"HTTP/1.1 200 OK\r\nX-Server-Stamp: stamp\r\nContent-Length: " +
           std::to_string(body_bytes) + "\r\n\r\n" +
           std::string(body_bytes, 'x'),
       false});
  const Endpoint& endpoint = fixture.daemon_->options_.caller_listen_;
  auto& answered = fixture.daemon_->metrics_.queries_;
  // Without what earlier tests have freed and the allocator keeps.
  malloc_trim(0);
  const uint64_t before = ResidentBytes();
  uint64_t most = before;
  std::list<boost::asio::ip::tcp::socket> callers;
  for (int i = 0; i < calls; ++i) {
    callers.push_back(CallWithoutReading(fixture.loop_, endpoint, i));
    REQUIRE(fixture.RunUntil([&] {
      return answered.Value(traffic::QueryOutcome::kComplete) ==
             static_cast<uint64_t>(i) + 1;
    }));
    most = std::max(most, ResidentBytes());
  }
  CHECK(most - before < kMemoryBytes);
  CHECK(fixture.FanOut(*fixture.daemon_).status_ == 200);
  const auto reader = std::make_shared<http::ClientConnection>(
      fixture.loop_, endpoint.address_, endpoint.port_, 2 * body_bytes);
  std::optional<http::ExchangeResult> result;
  http::ExchangeRequest request;
  request.bytes_ =
      "GET /h5/1 HTTP/1.1\r\nHost: hold.example\r\nX-Request-Id: read\r\n\r\n";
  reader->Start(std::move(request),
                [&result](http::ExchangeResult r) { result = std::move(r); });
  REQUIRE(fixture.RunUntil([&result] { return result.has_value(); }));
  CHECK(result->response_.body_.size() == body_bytes);
}

}  // namespace
}  // namespace clementinerill::gateway
