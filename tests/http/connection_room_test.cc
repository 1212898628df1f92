#include <list>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "http/http.h"
#include "http/test_server.h"

namespace clementinerill::http {
namespace {

namespace asio = boost::asio;
using std::chrono::seconds;

const std::string kHead = "GET / HTTP/1.1\r\nHost: h\r\n";

/// A listener with room for few connections, and clients.
struct FullServer {
  explicit FullServer(size_t max_connections)
      : listener_(loop_,
                  [this](const std::shared_ptr<ServerConnection>& connection,
                         const HttpRequest& request) {
                    if (request.target_ == "/wait") {
                      waiting_.push_back(connection);
                      return;
                    }
                    connection->Respond({200, {}, "ok", true}, false);
                  }) {
    listener_.SetMaxConnections(max_connections);
    const auto port = listener_.Listen("127.0.0.1", 0);
    REQUIRE(port);
    port_ = *port;
  }

  asio::ip::tcp::socket& Connect(const std::string& bytes) {
    clients_.emplace_back(loop_.Context());
    auto& socket = clients_.back();
    socket.connect({asio::ip::make_address("127.0.0.1"), port_});
    socket.non_blocking(true);
    asio::write(socket, asio::buffer(bytes));
    Run();
    return socket;
  }

  /// Runs until nothing more happens soon.
  void Run() {
    const Instant end = EventLoop::Now() + std::chrono::milliseconds(60);
    RunUntil(loop_, [end] { return EventLoop::Now() >= end; });
  }

  std::string Received(asio::ip::tcp::socket& socket) {
    Run();
    char bytes[4096];
    boost::system::error_code error;
    const size_t size = socket.read_some(asio::buffer(bytes), error);
    if (error == asio::error::would_block) {
      return "nothing";
    }
    return error ? "closed" : std::string(bytes, size).substr(0, 12);
  }

  EventLoop loop_;
  Listener listener_;
  std::vector<std::shared_ptr<ServerConnection>> waiting_;
  std::list<asio::ip::tcp::socket> clients_;
  uint16_t port_ = 0;
};

}  // namespace

// Guards against closing a connection of a caller that behaves while there is
// one of a caller that does not.
TEST_CASE("room is made by the connection that hangs for the longest time",
          "[caller]") {
  const Instant start{};
  const Instant now = start + seconds(3);
  using Uses = std::vector<ConnectionState>;
  CHECK_FALSE(ChooseConnectionToClose({}, now));
  CHECK_FALSE(ChooseConnectionToClose(
      Uses{{ConnectionUse::kServing, start},
           {ConnectionUse::kServing, start + seconds(1)}},
      now));
  CHECK(
      ChooseConnectionToClose(Uses{{ConnectionUse::kServing, start},
                                   {ConnectionUse::kIdle, start + seconds(2)},
                                   {ConnectionUse::kIdle, start + seconds(1)}},
                              now) == 2);
  CHECK(ChooseConnectionToClose(
            Uses{{ConnectionUse::kIdle, start},
                 {ConnectionUse::kReceiving, start + seconds(2)},
                 {ConnectionUse::kSending, start + seconds(1)}},
            now) == 2);
}

// Guards against closing a connection before its first request could be read.
TEST_CASE("a connection that has just come further is not closed", "[caller]") {
  const Instant now{};
  const auto state = [now](ConnectionUse use, int milliseconds) {
    return ConnectionState{use, now - std::chrono::milliseconds(milliseconds)};
  };
  CHECK_FALSE(ChooseConnectionToClose(
      {state(ConnectionUse::kReceiving, 90), state(ConnectionUse::kIdle, 90)},
      now));
  CHECK(ChooseConnectionToClose({state(ConnectionUse::kReceiving, 90),
                                 state(ConnectionUse::kIdle, 110)},
                                now) == 1);
}

// Guards against callers that keep others from connecting.
TEST_CASE("a full listener closes the oldest unfinished request", "[caller]") {
  FullServer server(3);
  auto& idle = server.Connect(kHead + "\r\n");
  auto& oldest = server.Connect(kHead);
  auto& unfinished = server.Connect(kHead);
  server.Run();
  server.Run();
  auto& next = server.Connect(kHead + "\r\n");
  CHECK(server.Received(next) == "HTTP/1.1 200");
  CHECK(server.Received(oldest) == "closed");
  CHECK(server.Received(unfinished) == "nothing");
  CHECK(server.Received(idle) == "HTTP/1.1 200");
  CHECK(server.Received(idle) == "nothing");
  CHECK(server.listener_.CountClosedForRoom() == 1);
}

// Guards against closing a connection whose request runs, and against refusing
// a caller for good: it waits until a request ends.
TEST_CASE("a caller waits while all connections have a request in progress",
          "[caller]") {
  FullServer server(2);
  const std::string wait = "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n";
  auto& first = server.Connect(wait);
  auto& second = server.Connect(wait);
  auto& third = server.Connect(wait);
  auto& last = server.Connect(kHead + "\r\n");
  CHECK(server.Received(last) == "nothing");
  REQUIRE(server.waiting_.size() >= 2);
  for (size_t i = 0; i < server.waiting_.size(); ++i) {
    server.waiting_[i]->Respond({200, {}, "ok", true}, true);
    server.Run();
  }
  CHECK(server.Received(last) == "HTTP/1.1 200");
  for (auto* socket : {&first, &second, &third}) {
    CHECK(server.Received(*socket) == "HTTP/1.1 200");
  }
  CHECK(server.listener_.CountClosedForRoom() == 0);
}

}  // namespace clementinerill::http
