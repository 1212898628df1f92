#include <optional>
#include <string>
#include <vector>

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "http/http.h"
#include "http/test_server.h"
#include "property.h"

namespace clementinerill::http {
namespace {

namespace asio = boost::asio;

/// A listener that answers each request and keeps its target.
struct RecordingServer {
  RecordingServer()
      : listener_(loop_,
                  [this](const std::shared_ptr<ServerConnection>& connection,
                         const HttpRequest& request) {
                    targets_.push_back(request.target_);
                    connection->Respond({200, {}, "ok", true}, false);
                  }) {
    port_ = *listener_.Listen("127.0.0.1", 0);
  }

  /// Sends the pieces on a new connection, and reads what the server does with
  /// them until it closes the connection or has answered `responses` times.
  void Send(const std::vector<std::string>& pieces, size_t responses) {
    asio::ip::tcp::socket socket(loop_.Context());
    socket.connect({asio::ip::make_address("127.0.0.1"), port_});
    socket.set_option(asio::ip::tcp::no_delay(true));
    boost::system::error_code error;
    for (const std::string& piece : pieces) {
      asio::write(socket, asio::buffer(piece), error);
      Poll();
    }
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    socket.non_blocking(true);
    const size_t before = targets_.size();
    RunUntil(loop_, [&] {
      char bytes[4096];
      error = {};
      socket.read_some(asio::buffer(bytes), error);
      return (error && error != asio::error::would_block) ||
             targets_.size() > before + responses;
    });
  }

  void Poll() {
    loop_.Context().restart();
    loop_.Context().poll();
  }

  EventLoop loop_;
  Listener listener_;
  uint16_t port_ = 0;
  std::vector<std::string> targets_;
};

std::vector<std::string> SplitAtRandom(const std::string& bytes) {
  std::vector<std::string> pieces;
  size_t begin = 0;
  while (begin < bytes.size() && pieces.size() < 6) {
    const auto size = *rc::gen::inRange<size_t>(1, bytes.size() + 1);
    pieces.push_back(bytes.substr(begin, size));
    begin += size;
  }
  if (begin < bytes.size()) {
    pieces.push_back(bytes.substr(begin));
  }
  return pieces;
}

std::string ChooseFrom(const std::vector<std::string>& texts) {
  return *rc::gen::elementOf(texts);
}

// One to three header lines that say, in usual and in odd ways, that the body
// has a transfer coding.
std::string MakeCodingLines() {
  std::string lines;
  const auto count = *rc::gen::inRange(1, 4);
  for (int i = 0; i < count; ++i) {
    lines += ChooseFrom({"Transfer-Encoding", "transfer-encoding",
                         "TRANSFER-ENCODING", "Transfer-Encoding ",
                         "Transfer-Encoding\t"});
    lines += ":";
    const auto tokens = *rc::gen::inRange(0, 4);
    for (int token = 0; token < tokens; ++token) {
      lines += ChooseFrom({"chunked", "Chunked", "identity", "gzip", "xchunked",
                           "chunke", "\"chunked\"", "chunked;q=1", "\x0b"});
      lines += ChooseFrom({",", ", ", " ", "\t", ";", "\r\n ", ""});
    }
    lines += "\r\n";
  }
  return lines + ChooseFrom({"", "", "Content-Length: 0\r\n",
                             "Content-Length: 5\r\n", "Connection: close\r\n"});
}

// Guards against a request in the body of another one that is run, however the
// coding of that body is written and the bytes are divided into packets.
TEST_CASE("no coding makes a request of the body of another one",
          "[caller][fuzz]") {
  CheckProperty(20261206, 1500, [] {
    RecordingServer server;
    const std::string hidden =
        "POST /hidden HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
    const std::string chunked =
        "3D\r\n" + hidden.substr(0, 0x3d) + "\r\n0\r\n\r\n";
    const std::string body = ChooseFrom({hidden, chunked, "0\r\n" + hidden});
    const std::string request =
        "POST /outer HTTP/1." + ChooseFrom({"1", "1", "0"}) +
        "\r\nHost: h\r\n" + MakeCodingLines() + "\r\n" + body;
    server.Send(SplitAtRandom(request), 1);
    RC_LOG() << request;
    for (const std::string& target : server.targets_) {
      RC_ASSERT(target == "/outer");
    }
  });
}

// Guards against bytes that end or block a daemon.
TEST_CASE("a listener survives mutated requests", "[caller][fuzz]") {
  CheckProperty(20261207, 700, [] {
    RecordingServer server;
    std::string request =
        "POST /a HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1\r\n"
        "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
        "GET /b HTTP/1.1\r\nHost: h\r\n\r\n";
    const auto mutations = *rc::gen::inRange(1, 8);
    for (int i = 0; i < mutations; ++i) {
      const auto at = *rc::gen::inRange<size_t>(0, request.size());
      request.replace(at, 1,
                      ChooseFrom({"", "\r", "\n", "\r\n\r\n", ":", " ", "0",
                                  "ffffffffffffffff", "-1", "\xff",
                                  std::string(1, '\0'), ";", "chunked"}));
    }
    server.Send(SplitAtRandom(request), 2);
    server.targets_.clear();
    server.Send({"GET /next HTTP/1.1\r\nHost: h\r\n\r\n"}, 0);
    RC_ASSERT(server.targets_ == std::vector<std::string>{"/next"});
  });
}

// Guards against an exchange that never ends, and against a body that differs
// from the replica's although its length says that it is complete.
TEST_CASE("an exchange ends whatever the replica sends", "[client][fuzz]") {
  CheckProperty(20261208, 700, [] {
    EventLoop loop;
    std::string response =
        "HTTP/1.1 103 Early Hints\r\n\r\n"
        "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        "4\r\nbody\r\n0\r\n\r\n";
    const auto mutations = *rc::gen::inRange(1, 8);
    for (int i = 0; i < mutations; ++i) {
      const auto at = *rc::gen::inRange<size_t>(0, response.size());
      response.replace(
          at, 1,
          ChooseFrom({"", "\r\n", "\n", ":", " ", "0", "9", "-", "\xff",
                      std::string(1, '\0'), "gzip, ", "ffffffffffffffff"}));
    }
    TestServer server(loop, [&response](const std::string& /*head*/) {
      return TestServer::Reply{response, true};
    });
    const auto connection = std::make_shared<ClientConnection>(
        loop, "127.0.0.1", server.Port(), 1000);
    std::optional<ExchangeResult> result;
    ExchangeRequest request;
    request.bytes_ = "GET / HTTP/1.1\r\nX-Id: 1\r\n\r\n";
    connection->Start(std::move(request),
                      [&result](ExchangeResult r) { result = std::move(r); });
    RC_LOG() << response;
    RC_ASSERT(RunUntil(loop, [&result] { return result.has_value(); }));
    RC_ASSERT(result->response_.body_.size() <= 1000U);
    connection->Close();
  });
}

}  // namespace
}  // namespace clementinerill::http
