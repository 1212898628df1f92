#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "http/http.h"
#include "http/test_server.h"

namespace clementinerill::http {
namespace {

[[noreturn]] void Throw() {
  throw std::runtime_error("thrown by the test");
}

/// Counts the exceptions of a loop by the kind of handler.
struct CountedLoop {
  CountedLoop() {
    loop_.Guard().SetOnFailure(
        [this](HandlerKind kind) { kinds_.push_back(kind); });
  }

  EventLoop loop_;
  std::vector<HandlerKind> kinds_;
};

/// Sends requests to a listener, each on a connection of its own; the status is
/// 0 if it was closed.
int StatusOf(EventLoop& loop, uint16_t port, const std::string& target) {
  const auto connection =
      std::make_shared<ClientConnection>(loop, "127.0.0.1", port, 1000);
  std::optional<ExchangeResult> result;
  ExchangeRequest request;
  request.bytes_ = "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
  connection->Start(std::move(request),
                    [&result](ExchangeResult r) { result = std::move(r); });
  REQUIRE(RunUntil(loop, [&result] { return result.has_value(); }));
  return result->response_.status_;
}

// Guards against an exception that ends all timers, or a periodic one.
TEST_CASE("an exception in a timer ends only that call", "[exception]") {
  CountedLoop counted;
  auto& timers = counted.loop_.Timers();
  int periodic = 0;
  bool later = false;
  const Instant now = EventLoop::Now();
  timers.AddPeriodic(std::chrono::milliseconds(1), [&periodic] {
    if (++periodic == 1) {
      Throw();
    }
  });
  timers.Add(now, Throw);
  timers.Add(now + std::chrono::milliseconds(5), [&later] { later = true; });
  CHECK(RunUntil(counted.loop_, [&] { return later && periodic > 2; }));
  CHECK(counted.kinds_ ==
        std::vector<HandlerKind>{HandlerKind::kTimer, HandlerKind::kTimer});
}

// Guards against an exception that ends the thread of a loop.
TEST_CASE("a loop runs on after an exception", "[exception]") {
  CountedLoop counted;
  EventLoop& loop = counted.loop_;
  loop.Post(Throw);
  // A handler without a guard of its own.
  boost::asio::post(loop.Context(), Throw);
  loop.Post([&loop] { loop.Stop(); });
  loop.Run();
  CHECK(counted.kinds_ ==
        std::vector<HandlerKind>{HandlerKind::kTask, HandlerKind::kLoop});
}

// Guards against an exception in the handler of a request that takes others
// along, or leaves its client without an end. The request may have run.
TEST_CASE("an exception in the handler of a request fails that request",
          "[exception]") {
  CountedLoop counted;
  Listener listener(counted.loop_, [](const auto& connection, auto request) {
    if (request.target_ == "/throws") {
      Throw();
    }
    connection->Respond({200, {}, "", true}, false);
  });
  const auto port = listener.Listen("127.0.0.1", 0);
  REQUIRE(port);
  CHECK(StatusOf(counted.loop_, *port, "/throws") == 500);
  CHECK(StatusOf(counted.loop_, *port, "/") == 200);
  CHECK(counted.kinds_ == std::vector<HandlerKind>{HandlerKind::kRequest});
}

// Guards against the same before the handler is reached; the request has not
// run then, and its client is told so.
TEST_CASE("an exception in the check of a head refuses that request",
          "[exception]") {
  CountedLoop counted;
  Listener listener(counted.loop_,
                    [](const auto& connection, const auto& /*request*/) {
                      connection->Respond({200, {}, "", true}, false);
                    });
  listener.SetHeadCheck(
      [](const RequestHead& head) -> std::optional<HttpResponse> {
        if (head.Target() == "/throws") {
          Throw();
        }
        return std::nullopt;
      });
  const auto port = listener.Listen("127.0.0.1", 0);
  REQUIRE(port);
  CHECK(StatusOf(counted.loop_, *port, "/throws") == 503);
  CHECK(StatusOf(counted.loop_, *port, "/") == 200);
}

// Guards against an exchange that is never ended, and against one that is
// reported as not sent after a byte of it was.
TEST_CASE("an exception in an exchange ends it with a true outcome",
          "[exception]") {
  CountedLoop counted;
  EventLoop& loop = counted.loop_;
  TestServer server(loop, [](const std::string&) {
    return TestServer::Reply{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
                             false};
  });
  const bool is_sent = GENERATE(false, true);
  const auto connection =
      std::make_shared<ClientConnection>(loop, "127.0.0.1", server.Port(), 99);
  std::optional<ExchangeResult> result;
  ExchangeRequest request;
  request.make_bytes_ = [is_sent]() -> std::optional<std::string> {
    if (!is_sent) {
      Throw();
    }
    return "GET / HTTP/1.1\r\n\r\n";
  };
  request.is_matching_response_ = [](const HttpResponse&) -> bool { Throw(); };
  connection->Start(std::move(request),
                    [&result](ExchangeResult r) { result = std::move(r); });
  REQUIRE(RunUntil(loop, [&result] { return result.has_value(); }));
  CHECK(result->outcome_ ==
        (is_sent ? ExchangeOutcome::kBroken : ExchangeOutcome::kNotSent));
  CHECK(connection->IsClosed());
  CHECK(counted.kinds_ == std::vector<HandlerKind>{HandlerKind::kExchange});
}

// Guards against a control loop that stops for good, because the handler that
// was to start its next call has thrown an exception.
TEST_CASE("a handler of a call that throws can try again", "[exception]") {
  CountedLoop counted;
  EventLoop& loop = counted.loop_;
  TestServer server(loop, [](const std::string&) {
    return TestServer::Reply{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                             false};
  });
  Client client(loop, "127.0.0.1", server.Port());
  int calls = 0;
  bool is_told = false;
  std::function<void()> call = [&] {
    ClientRequest request;
    request.target_ = "/";
    request.timeout_ = std::chrono::seconds(5);
    client.Call(std::move(request), [&](const ClientResponse& response) {
      if (response.handler_failed_) {
        is_told = response.status_ == 0;
        call();
      } else if (++calls == 1) {
        Throw();
      }
    });
  };
  call();
  CHECK(RunUntil(loop, [&] { return calls == 2; }));
  CHECK(is_told);
}

}  // namespace
}  // namespace clementinerill::http
