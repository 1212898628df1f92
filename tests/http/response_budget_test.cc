#include <malloc.h>

#include <list>
#include <memory>
#include <string>

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "http/http.h"
#include "http/test_server.h"

namespace clementinerill::http {
namespace {

namespace asio = boost::asio;

// Larger than what the kernel takes for a client that does not read.
constexpr size_t kBodyBytes = 8'000'000;

/// A listener with a budget for responses, and clients. Each request is
/// answered with a large body.
struct UnreadServer {
  UnreadServer()
      : listener_(loop_,
                  [this](const std::shared_ptr<ServerConnection>& connection,
                         const HttpRequest& /*request*/) {
                    connections_.push_back(connection);
                    connection->Respond(
                        {200, {}, std::string(kBodyBytes, 'x'), true}, false);
                  }) {
    listener_.SetResponseBudget(budget_);
    const auto port = listener_.Listen("127.0.0.1", 0);
    REQUIRE(port);
    port_ = *port;
  }

  /// Sends a request on a new connection and waits until it is answered.
  asio::ip::tcp::socket& Ask() {
    clients_.emplace_back(loop_.Context());
    auto& socket = clients_.back();
    socket.open(asio::ip::tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size(4096));
    socket.connect({asio::ip::make_address("127.0.0.1"), port_});
    asio::write(socket,
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    const size_t answered = connections_.size() + 1;
    REQUIRE(RunUntil(loop_, [&] { return connections_.size() == answered; }));
    return socket;
  }

  size_t ReadBody(asio::ip::tcp::socket& socket) {
    size_t received = 0;
    socket.non_blocking(true);
    RunUntil(loop_, [&received, &socket] {
      static char bytes[65536];
      boost::system::error_code error;
      received += socket.read_some(asio::buffer(bytes), error);
      return received > kBodyBytes ||
             (error && error != asio::error::would_block);
    });
    return received;
  }

  EventLoop loop_;
  Listener listener_;
  std::shared_ptr<BufferBudget> budget_ =
      std::make_shared<BufferBudget>(BufferBudget{20'000'000, 0, 0, true});
  uint16_t port_ = 0;
  std::list<std::shared_ptr<ServerConnection>> connections_;
  std::list<asio::ip::tcp::socket> clients_;
};

// Guards against responses that nobody reads and that take all memory, and
// against the loss of a response to a client that reads.
TEST_CASE("the response that was unread for longest makes room", "[caller]") {
  UnreadServer server;
  auto& first = server.Ask();
  server.Ask();
  CHECK(server.budget_->held_bytes_ > 2 * kBodyBytes);
  auto& third = server.Ask();
  CHECK(server.connections_.front()->IsClosed());
  CHECK_FALSE(server.connections_.back()->IsClosed());
  CHECK(server.budget_->held_bytes_ <= server.budget_->limit_bytes_);
  CHECK(server.ReadBody(third) > kBodyBytes);
  CHECK(server.ReadBody(first) < kBodyBytes);
}

// Guards against a response that is dropped although nothing else needs memory.
TEST_CASE("a response larger than the budget is sent", "[caller]") {
  UnreadServer server;
  server.budget_->limit_bytes_ = 1000;
  CHECK(server.ReadBody(server.Ask()) > kBodyBytes);
  CHECK(server.budget_->held_bytes_ == 0);
}

// Guards against connections that are kept for clients that are gone without a
// trace.
TEST_CASE("a connection whose client reads nothing is closed", "[caller]") {
  UnreadServer server;
  server.Ask();
  const Instant now = EventLoop::Now();
  server.listener_.CheckTimeouts(false, now + std::chrono::seconds(10));
  CHECK_FALSE(server.connections_.front()->IsClosed());
  server.listener_.CheckTimeouts(false, now + std::chrono::seconds(20));
  CHECK(server.connections_.front()->IsClosed());
  CHECK(server.budget_->held_bytes_ == 0);
}

// Guards against connections that keep the memory of the largest response that
// they have sent.
TEST_CASE("an idle connection keeps no memory of its response", "[caller]") {
  UnreadServer server;
  constexpr size_t kClients = 20;
  malloc_trim(0);
  const size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
  for (size_t i = 0; i < kClients; ++i) {
    CHECK(server.ReadBody(server.Ask()) > kBodyBytes);
  }
  CHECK(server.listener_.CountOpen() == kClients);
  CHECK(mallinfo2().uordblks + mallinfo2().hblkhd < before + kBodyBytes);
}

}  // namespace
}  // namespace clementinerill::http
