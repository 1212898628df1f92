#include <list>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "http/http.h"
#include "http/test_server.h"

namespace clementinerill::http {
namespace {

namespace asio = boost::asio;

/// A listener with a budget for requests, whose handler leaves them open, and
/// clients.
struct BudgetedServer {
  BudgetedServer()
      : listener_(loop_,
                  [this](std::shared_ptr<ServerConnection> connection,
                         const HttpRequest& request) {
                    connections_.push_back(std::move(connection));
                    bodies_.push_back(request.body_.size());
                  }) {
    listener_.SetRequestBudget(budget_);
    const auto port = listener_.Listen("127.0.0.1", 0);
    REQUIRE(port);
    port_ = *port;
  }

  /// Sends bytes on a new connection, and lets the listener read them.
  asio::ip::tcp::socket& Send(const std::string& bytes) {
    clients_.emplace_back(loop_.Context());
    auto& socket = clients_.back();
    socket.connect({asio::ip::make_address("127.0.0.1"), port_});
    bool is_sent = false;
    asio::async_write(
        socket, asio::buffer(bytes),
        [&is_sent](const auto& /*error*/, size_t /*size*/) { is_sent = true; });
    REQUIRE(RunUntil(loop_, [&is_sent] { return is_sent; }));
    return socket;
  }

  static std::string Upload(size_t length, size_t sent) {
    return "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " +
           std::to_string(length) + "\r\n\r\n" + std::string(sent, 'x');
  }

  std::string ReadAll(asio::ip::tcp::socket& socket) {
    std::string received;
    socket.non_blocking(true);
    RunUntil(loop_, [&received, &socket] {
      char bytes[4096];
      boost::system::error_code error;
      received.append(bytes, socket.read_some(asio::buffer(bytes), error));
      return error && error != asio::error::would_block;
    });
    return received;
  }

  bool RunUntilHeld(uint64_t bytes) {
    return RunUntil(loop_,
                    [this, bytes] { return budget_->held_bytes_ == bytes; });
  }

  EventLoop loop_;
  std::shared_ptr<BufferBudget> budget_ =
      std::make_shared<BufferBudget>(BufferBudget{1000000});
  Listener listener_;
  uint16_t port_ = 0;
  std::vector<std::shared_ptr<ServerConnection>> connections_;
  std::vector<size_t> bodies_;
  std::list<asio::ip::tcp::socket> clients_;
};

// Guards against callers that fill the memory of a VM with uploads that stop
// short of their end, and against small requests that then find no place.
TEST_CASE("uploads that stop short stay within the budget", "[caller]") {
  BudgetedServer server;
  for (int i = 0; i < 40; ++i) {
    server.Send(BudgetedServer::Upload(100001, 100000));
    CHECK(server.budget_->held_bytes_ <= server.budget_->limit_bytes_);
  }
  RunUntil(server.loop_, [&server] { return server.budget_->refusals_ > 0; });
  CHECK(server.budget_->refusals_ > 0);
  server.Send(BudgetedServer::Upload(10, 10));
  REQUIRE(RunUntil(server.loop_, [&] { return !server.bodies_.empty(); }));
  CHECK(server.bodies_.back() == 10);
}

// Guards against a request that is closed without a status, or refused as if
// the caller were at fault, for lack of memory: it has not run and may be sent
// again.
TEST_CASE("an upload without memory is refused with status 503", "[caller]") {
  BudgetedServer server;
  server.budget_->limit_bytes_ = 1000;
  auto& socket = server.Send(BudgetedServer::Upload(5000, 4000));
  const std::string received = server.ReadAll(socket);
  CHECK(received.find("HTTP/1.1 503") == 0);
  CHECK(received.find("Retry-After: 0.1\r\n") != std::string::npos);
  CHECK(server.RunUntilHeld(0));
}

// Guards against bytes that are not counted once the request is complete, or
// that count after its response.
TEST_CASE("a request counts until its response", "[caller]") {
  BudgetedServer server;
  server.Send(BudgetedServer::Upload(1000, 1000));
  REQUIRE(RunUntil(server.loop_, [&] { return !server.bodies_.empty(); }));
  // The body and its copy for the replica.
  CHECK(server.RunUntilHeld(2000));
  server.connections_[0]->Respond({200, {}, "done", true}, false);
  CHECK(server.budget_->held_bytes_ == 0);
}

}  // namespace
}  // namespace clementinerill::http
