#include <array>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "gateway/gateway_fixture.h"

namespace clementinerill::gateway {
namespace {

using http::FindHeader;
using std::chrono::milliseconds;

/// A caller that sends the start of a request to the non-idempotent route, and
/// the rest of it when told.
class SlowSender {
 public:
  SlowSender(GatewayFixture& fixture, const Daemon& daemon)
      : fixture_(fixture), socket_(fixture.loop_.Context()) {
    socket_.connect({boost::asio::ip::make_address("127.0.0.1"),
                     daemon.options_.caller_listen_.port_});
    Send("GET /h5/1 HTTP/1.1\r\nHost: hold.example\r\n");
    Read();
  }

  /// Sends the rest; returns what the daemon sends until it closes.
  std::string Finish() {
    Send("X-Request-Id: slow\r\nX-Request-Deadline: 5000\r\n\r\n");
    fixture_.RunUntil([this] { return closed_; });
    return received_;
  }

 private:
  void Send(const std::string& text) {
    boost::asio::write(socket_, boost::asio::buffer(text));
  }

  void Read() {
    socket_.async_read_some(boost::asio::buffer(buffer_),
                            [this](const auto& error, size_t bytes) {
                              received_.append(buffer_.data(), bytes);
                              closed_ = static_cast<bool>(error);
                              if (!closed_) {
                                Read();
                              }
                            });
  }

  GatewayFixture& fixture_;
  boost::asio::ip::tcp::socket socket_;
  std::array<char, 1000> buffer_{};
  std::string received_;
  bool closed_ = false;
};

// Guards against a shutdown that drops requests, or that stays ready for the
// balancer.
TEST_CASE("a shutdown answers requests and then completes", "[gateway]") {
  GatewayFixture fixture;
  fixture.PutEverything();
  Daemon& daemon = fixture.Start(fixture.Options("vm-1"));
  REQUIRE(fixture.RunUntil([&] { return fixture.IsReady(daemon); }));
  bool stopped = false;
  daemon.traffic_.Drain([&stopped] { stopped = true; });
  CHECK_FALSE(fixture.IsReady(daemon));
  const auto response = fixture.FanOut(daemon);
  CHECK(response.status_ == 200);
  CHECK(FindHeader(response.headers_, "Connection") == "close");
  CHECK(fixture.RunUntil([&] { return stopped; }));
}

// Guards against requests that arrive late in a planned stop, for example from
// a slow sender, and are passed on although the daemon ends before the replica
// can answer: a non-idempotent one then has an unknown outcome, or no answer.
TEST_CASE("requests late in a shutdown are refused and not passed on",
          "[gateway]") {
  GatewayFixture fixture;
  fixture.PutEverything();
  GatewayOptions options = fixture.Options("vm-1");
  options.stop_grace_ = milliseconds(4200);
  Daemon& daemon = fixture.Start(options);
  REQUIRE(fixture.RunUntil([&] { return fixture.IsReady(daemon); }));
  fixture.replicas_[2]->handler_ = [](const auto&, const auto&) {};
  SlowSender before_end(fixture, daemon);
  SlowSender after_end(fixture, daemon);
  daemon.traffic_.Drain([] {});
  // The daemon ends its queries 3.5 s after the start of the shutdown.
  fixture.RunFor(milliseconds(3450));
  CHECK(before_end.Finish().find("HTTP/1.1 503") == 0);
  fixture.RunFor(milliseconds(60));
  CHECK(after_end.Finish().find("HTTP/1.1 503") == 0);
  CHECK(fixture.replicas_[2]->requests_.empty());
}

}  // namespace
}  // namespace clementinerill::gateway
