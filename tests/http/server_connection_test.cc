#include <optional>
#include <string>
#include <vector>

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "http/http.h"
#include "http/test_server.h"

namespace clementinerill::http {
namespace {

namespace asio = boost::asio;

/// A listener, and a client socket that is connected to it.
struct Server {
  Server()
      : listener_(loop_,
                  [this](std::shared_ptr<ServerConnection> connection,
                         HttpRequest request) {
                    connections_.push_back(std::move(connection));
                    requests_.push_back(std::move(request));
                  }),
        socket_(loop_.Context()) {
    const auto port = listener_.Listen("127.0.0.1", 0);
    REQUIRE(port);
    socket_.connect({asio::ip::make_address("127.0.0.1"), *port});
  }

  void Send(const std::string& bytes) {
    asio::write(socket_, asio::buffer(bytes));
  }

  bool WaitForRequests(size_t count) {
    return RunUntil(loop_, [this, count] { return requests_.size() >= count; });
  }

  /// Reads until the client has received `part`, the connection ends or the
  /// wait times out; returns everything received so far.
  std::string ReadUntil(const std::string& part) {
    socket_.non_blocking(true);
    RunUntil(loop_, [this, &part] {
      char bytes[4096];
      boost::system::error_code error;
      const size_t size = socket_.read_some(asio::buffer(bytes), error);
      received_.append(bytes, size);
      return received_.find(part) != std::string::npos ||
             error == asio::error::eof;
    });
    return received_;
  }

  EventLoop loop_;
  Listener listener_;
  std::vector<std::shared_ptr<ServerConnection>> connections_;
  std::vector<HttpRequest> requests_;
  asio::ip::tcp::socket socket_;
  std::string received_;
};

// Guards against request smuggling and against losing a pipelined request.
TEST_CASE("pipelined requests are served in order", "[caller]") {
  Server server;
  server.Send(
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
      "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(server.WaitForRequests(1));
  CHECK(server.requests_[0].body_ == "abc");
  CHECK(server.requests_.size() == 1);
  server.connections_[0]->Respond({200, {}, "one", true}, false);
  REQUIRE(server.WaitForRequests(2));
  CHECK(server.requests_[1].target_ == "/b");
  server.connections_[1]->Respond({200, {}, "two", true}, false);
  const std::string received = server.ReadUntil("two");
  CHECK(received.find("one") < received.find("two"));
}

TEST_CASE("a chunked body is reassembled", "[caller]") {
  Server server;
  server.Send(
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  REQUIRE(server.WaitForRequests(1));
  CHECK(server.requests_[0].body_ == "abcde");
}

// Guards against continuing work for a client that has disconnected.
TEST_CASE("a client disconnect is detected while its request is in progress",
          "[caller]") {
  Server server;
  server.Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(server.WaitForRequests(1));
  bool disconnected = false;
  server.connections_[0]->OnDisconnect(
      [&disconnected] { disconnected = true; });
  server.socket_.close();
  CHECK(RunUntil(server.loop_, [&disconnected] { return disconnected; }));
}

// Guards against malformed input that crashes or hangs the process.
TEST_CASE("a malformed request is rejected with status 400", "[caller]") {
  Server server;
  server.Send("nonsense\r\n\r\n");
  CHECK(server.ReadUntil("400").find("HTTP/1.1 400") == 0);
  CHECK(server.requests_.empty());
}

TEST_CASE("a body above the size limit is rejected with status 413",
          "[caller]") {
  Server server;
  server.Send(
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n");
  CHECK(server.ReadUntil("413").find("HTTP/1.1 413") == 0);
}

// Guards against memory for a length that no request may have, and against
// bytes after the head that are taken for header fields.
TEST_CASE("a length above the limit is rejected, whatever follows it",
          "[caller][length]") {
  const auto length = GENERATE(
      values<std::string>({"1048577", "1000000000000000", "9223372036854775807",
                           "18446744073709551615"}));
  const auto body = GENERATE(values<std::string>(
      {"x", "{}", "a: b\r\n", "a: b\r\n\r\n", std::string(3000, 'x'),
       "GET /b HTTP/1.1\r\nHost: h\r\n\r\n"}));
  INFO(length << ", then " << body);
  Server server;
  server.Send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + length +
              "\r\n\r\n" + body);
  CHECK(server.ReadUntil("413").find("HTTP/1.1 413") == 0);
  CHECK(server.requests_.empty());
}

// Guards against a shutdown that cuts off a request in progress, and against
// idle connections that keep a stopping process alive.
TEST_CASE("draining closes idle connections only", "[caller]") {
  Server server;
  server.Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(server.WaitForRequests(1));
  server.listener_.CheckTimeouts(true, EventLoop::Now());
  CHECK(server.listener_.CountServing() == 1);
  server.connections_[0]->Respond({200, {}, "done", true}, true);
  CHECK(server.ReadUntil("done").find("Connection: close") !=
        std::string::npos);
  CHECK(RunUntil(server.loop_, [&server] {
    server.listener_.CheckTimeouts(true, EventLoop::Now());
    return server.listener_.CountOpen() == 0;
  }));
}

// Guards against a request in the body of another one that is taken for the
// next request of the connection, because the end of the body was not known,
// and against a body that is forwarded without its coding.
TEST_CASE("a transfer coding other than chunked is rejected", "[caller]") {
  struct Framing {
    std::string version_;
    std::string headers_;
    std::string status_;
  };
  const auto framing = GENERATE(values<Framing>(
      {{"1.1", "Transfer-Encoding: chunked, identity\r\n", "400"},
       {"1.1", "Transfer-Encoding: identity\r\n", "400"},
       {"1.1", "Transfer-Encoding: xchunked\r\n", "400"},
       {"1.1", "Transfer-Encoding: chunked;q=1\r\n", "400"},
       {"1.1", "Transfer-Encoding: \r\n", "400"},
       {"1.1", "Transfer-Encoding: chunked, chunked\r\n", "400"},
       {"1.1", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "400"},
       {"1.1", "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
        "400"},
       {"1.1", "Transfer-Encoding: identity\r\nContent-Length: 0\r\n", "400"},
       {"1.1", "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n", "400"},
       {"1.0", "Transfer-Encoding: chunked\r\nConnection: keep-alive\r\n",
        "400"},
       {"1.1", "Transfer-Encoding: gzip, chunked\r\n", "501"},
       {"1.1", "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
        "501"}}));
  INFO(framing.headers_);
  Server server;
  server.Send("POST /outer HTTP/" + framing.version_ + "\r\nHost: h\r\n" +
              framing.headers_ +
              "\r\n"
              "0\r\n\r\n"
              "POST /inner HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
  const std::string received = server.ReadUntil("Connection: close");
  CHECK(received.find("HTTP/1.1 " + framing.status_) == 0);
  CHECK(server.requests_.empty());
}

// Guards against a strict check that rejects usual spellings.
TEST_CASE("the name of the chunked coding is case-insensitive", "[caller]") {
  Server server;
  server.Send(
      "POST /a HTTP/1.1\r\nHost: h\r\ntransfer-encoding:  Chunked \r\n\r\n"
      "3\r\nabc\r\n0\r\n\r\n");
  REQUIRE(server.WaitForRequests(1));
  CHECK(server.requests_[0].body_ == "abc");
}

/// A server that refuses heads without the field `Pass`.
struct CheckingServer : Server {
  CheckingServer() {
    listener_.SetHeadCheck(
        [this](const RequestHead& head) -> std::optional<HttpResponse> {
          targets_.emplace_back(head.Target());
          counts_.push_back(head.Count("pass"));
          if (head.Find("PASS") == "yes") {
            return std::nullopt;
          }
          return HttpResponse{401, {{"X-Reason", "pass"}}, "", true};
        });
  }

  std::vector<std::string> targets_;
  std::vector<size_t> counts_;
};

// Guards against reading a body of a request that is refused by its head.
TEST_CASE("a request is refused before its body is received", "[caller]") {
  CheckingServer server;
  server.Send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\nab");
  const std::string received = server.ReadUntil("\r\n\r\n");
  CHECK(received.find("HTTP/1.1 401") == 0);
  CHECK(received.find("X-Reason: pass") != std::string::npos);
  CHECK(received.find("Connection: close") != std::string::npos);
  CHECK(server.requests_.empty());
}

// Guards against a client that is still sending and gets a reset in place of
// the response.
TEST_CASE("the body of a refused request is discarded for a while",
          "[caller]") {
  CheckingServer server;
  const std::string body(1 << 18, 'x');
  server.Send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 262144\r\n\r\n" +
              body.substr(0, 100000));
  RunUntil(server.loop_, [&] { return !server.targets_.empty(); });
  server.Send(body.substr(0, 100000));
  CHECK(server.ReadUntil("\r\n\r\n").find("HTTP/1.1 401") == 0);
  // A second request behind the body is not taken for one.
  server.Send("GET /b HTTP/1.1\r\nHost: h\r\nPass: yes\r\n\r\n");
  const Instant now = EventLoop::Now();
  RunUntil(server.loop_, [now] {
    return EventLoop::Now() >= now + std::chrono::milliseconds(50);
  });
  server.listener_.CheckTimeouts(false, now + std::chrono::milliseconds(900));
  CHECK(server.listener_.CountOpen() == 1);
  server.listener_.CheckTimeouts(false, now + std::chrono::milliseconds(3000));
  CHECK(server.listener_.CountOpen() == 0);
  CHECK(server.requests_.empty());
  CHECK(server.targets_.size() == 1);
}

// Guards against new connections for each refused request, and against losing
// the request behind it.
TEST_CASE("a complete refused request leaves the connection open", "[caller]") {
  CheckingServer server;
  server.Send(
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
      "GET /b HTTP/1.1\r\nHost: h\r\nPass: yes\r\nPass: no\r\n\r\n");
  REQUIRE(server.WaitForRequests(1));
  CHECK(server.requests_[0].target_ == "/b");
  CHECK(server.requests_[0].body_.empty());
  CHECK(server.targets_ == std::vector<std::string>{"/a", "/b"});
  CHECK(server.counts_ == std::vector<size_t>{0, 2});
  CHECK(server.ReadUntil("401").find("HTTP/1.1 401") == 0);
}

// Guards against a second check, or none, of a head that arrives in pieces.
TEST_CASE("a head is checked once, when it is complete", "[caller]") {
  CheckingServer server;
  for (const char* piece : {"POST /a HTTP/1.1\r\nHost: h\r\nPa", "ss: yes\r\n",
                            "Content-Length: 4\r\n\r\n", "ab", "cd"}) {
    server.Send(piece);
    RunUntil(server.loop_,
             [end = EventLoop::Now() + std::chrono::milliseconds(20)] {
               return EventLoop::Now() >= end;
             });
  }
  REQUIRE(server.WaitForRequests(1));
  CHECK(server.requests_[0].body_ == "abcd");
  CHECK(server.targets_ == std::vector<std::string>{"/a"});
}

TEST_CASE("100 Continue is not sent for a refused request", "[caller]") {
  CheckingServer server;
  server.Send(
      "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
      "Content-Length: 4\r\n\r\n");
  CHECK(server.ReadUntil("\r\n\r\n").find("HTTP/1.1 401") == 0);
}

}  // namespace
}  // namespace clementinerill::http
