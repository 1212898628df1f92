#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <catch2/catch.hpp>

#include "http/http.h"
#include "http/test_server.h"

namespace clementinerill::http {
namespace {

std::string Ok(const std::string& id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nX-Id: " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

/// A test server and a connection to it.
struct Exchange {
  explicit Exchange(TestServer::Handler handler)
      : server_(loop_, std::move(handler)),
        connection_(std::make_shared<ClientConnection>(loop_,
                                                       "127.0.0.1",
                                                       server_.Port(),
                                                       1000)) {}

  ExchangeResult Run(const std::string& id) {
    std::optional<ExchangeResult> result;
    ExchangeRequest request;
    request.bytes_ = "GET / HTTP/1.1\r\nX-Id: " + id + "\r\n\r\n";
    request.is_matching_response_ = [id](const HttpResponse& response) {
      return FindHeader(response.headers_, "x-id") == id;
    };
    connection_->Start(std::move(request),
                       [&result](ExchangeResult r) { result = std::move(r); });
    REQUIRE(RunUntil(loop_, [&result] { return result.has_value(); }));
    return std::move(*result);
  }

  EventLoop loop_;
  TestServer server_;
  std::shared_ptr<ClientConnection> connection_;
};

TEST_CASE("a connection is reused for consecutive exchanges", "[client]") {
  int requests = 0;
  Exchange exchange([&requests](const std::string&) {
    return TestServer::Reply{Ok(std::to_string(++requests), "body"), false};
  });
  CHECK(exchange.Run("1").response_.body_ == "body");
  CHECK(exchange.connection_->IsReusable());
  CHECK(exchange.Run("2").outcome_ == ExchangeOutcome::kResponse);
  CHECK(exchange.server_.Connections() == 1);
}

// Guards against requests that state what was true before their connection was
// established.
TEST_CASE("a request is made when its connection can send it", "[client]") {
  EventLoop loop;
  const auto server = TestServer::WithFullQueue(loop, [](const std::string&) {
    return TestServer::Reply{Ok("1", "body"), false};
  });
  const auto connection = std::make_shared<ClientConnection>(
      loop, "127.0.0.1", server->Port(), 1000);
  int made = 0;
  std::optional<ExchangeResult> result;
  ExchangeRequest request;
  request.make_bytes_ = [&made] {
    ++made;
    return "GET / HTTP/1.1\r\n\r\n";
  };
  connection->Start(std::move(request),
                    [&result](ExchangeResult r) { result = std::move(r); });
  const Instant started = EventLoop::Now();
  RunUntil(loop, [started] {
    return EventLoop::Now() > started + std::chrono::milliseconds(50);
  });
  CHECK(made == 0);
  CHECK_FALSE(connection->HasSent());
  server->Accept();
  REQUIRE(RunUntil(loop, [&result] { return result.has_value(); }));
  CHECK(result->outcome_ == ExchangeOutcome::kResponse);
  CHECK(made == 1);
  CHECK(connection->HasSent());
}

// Guards against a connection that is lost, or a request that is sent, when the
// request is no longer wanted.
TEST_CASE("a withdrawn request leaves its connection for another one",
          "[client]") {
  int requests = 0;
  Exchange exchange([&requests](const std::string&) {
    return TestServer::Reply{Ok(std::to_string(++requests), "body"), false};
  });
  const bool is_connected = GENERATE(false, true);
  int expected = 0;
  if (is_connected) {
    exchange.Run(std::to_string(++expected));
  }
  std::optional<ExchangeResult> result;
  ExchangeRequest request;
  request.make_bytes_ = [] { return std::nullopt; };
  exchange.connection_->Start(std::move(request), [&result](ExchangeResult r) {
    result = std::move(r);
  });
  CHECK_FALSE(result.has_value());
  REQUIRE(RunUntil(exchange.loop_, [&result] { return result.has_value(); }));
  CHECK(result->outcome_ == ExchangeOutcome::kWithdrawn);
  CHECK_FALSE(exchange.connection_->HasSent());
  REQUIRE(exchange.connection_->IsReusable());
  const auto next = exchange.Run(std::to_string(++expected));
  CHECK(next.outcome_ == ExchangeOutcome::kResponse);
  CHECK(requests == expected);
  CHECK(exchange.server_.Connections() == 1);
}

// Guards against a duplicate or late response that is taken for the response
// to the next request.
TEST_CASE("a response to an earlier request is discarded", "[client]") {
  Exchange exchange([](const std::string& head) {
    if (head.find("X-Id: 1") != std::string::npos) {
      return TestServer::Reply{Ok("1", "first") + Ok("1", "again"), false};
    }
    return TestServer::Reply{Ok("1", "late") + Ok("2", "second"), false};
  });
  CHECK(exchange.Run("1").response_.body_ == "first");
  CHECK_FALSE(exchange.connection_->IsReusable());
  exchange.connection_ = std::make_shared<ClientConnection>(
      exchange.loop_, "127.0.0.1", exchange.server_.Port(), 1000);
  CHECK(exchange.Run("2").response_.body_ == "second");
  CHECK_FALSE(exchange.connection_->IsReusable());
}

// Guards against a truncated response that passes for complete.
TEST_CASE("a truncated response is reported as broken", "[client]") {
  Exchange exchange([](const std::string&) {
    return TestServer::Reply{
        "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\nshort", true};
  });
  CHECK(exchange.Run("1").outcome_ == ExchangeOutcome::kBroken);
}

// Guards against a replica that stops anywhere in its response, above all in
// the head, and closes: a head that ends early must not pass for a response
// with an empty body, or with fewer headers than the replica sent.
TEST_CASE("a response that ends early is broken wherever it ends", "[client]") {
  const std::string framed = Ok("1", "whole body");
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nwhole\r\n5\r\n body\r\n0\r\n\r\n";
  const std::string unframed_head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n";
  for (const std::string& whole : {framed, chunked, unframed_head}) {
    for (size_t length = 0; length < whole.size(); ++length) {
      Exchange exchange([&whole, length](const std::string&) {
        return TestServer::Reply{whole.substr(0, length), true};
      });
      INFO(whole.substr(0, length));
      CHECK(exchange.Run("1").outcome_ == ExchangeOutcome::kBroken);
    }
  }
}

// Guards against losing a response without Content-Length, which ends when the
// server closes the connection.
TEST_CASE("a response may be delimited by the end of the connection",
          "[client]") {
  Exchange exchange([](const std::string&) {
    return TestServer::Reply{"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nto the end",
                             true};
  });
  const ExchangeResult result = exchange.Run("1");
  CHECK(result.outcome_ == ExchangeOutcome::kResponse);
  CHECK(result.response_.body_ == "to the end");
  CHECK_FALSE(exchange.connection_->IsReusable());
}

// Guards against forwarding bytes that are not HTTP to a client.
TEST_CASE("a malformed response is reported as garbled", "[client]") {
  Exchange exchange([](const std::string&) {
    return TestServer::Reply{"\x01\x02 nonsense\r\n\r\n", false};
  });
  CHECK(exchange.Run("1").outcome_ == ExchangeOutcome::kGarbled);
}

// Guards against a length in a head that ends the process: memory for it is
// reserved before the length is compared with the limit.
TEST_CASE("a length above the limit is cut off, whatever follows it",
          "[client][length]") {
  const auto framing = GENERATE(values<std::string>(
      {"Content-Length: 1001\r\n\r\n", "Content-Length: 16777217\r\n\r\n",
       "Content-Length: 1000000000000000\r\n\r\n",
       "Content-Length: 9223372036854775807\r\n\r\n",
       "Content-Length: 18446744073709551615\r\n\r\n",
       "Transfer-Encoding: chunked\r\n\r\n38d7ea4c68000\r\n",
       "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n"}));
  const auto body =
      GENERATE(values<std::string>({"", "x", std::string(999, 'x')}));
  const bool is_closed = GENERATE(false, true);
  INFO(framing << body.size() << " bytes, closed: " << is_closed);
  Exchange exchange([&](const std::string&) {
    return TestServer::Reply{"HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + framing + body,
                             is_closed};
  });
  const ExchangeResult result = exchange.Run("1");
  CHECK(result.outcome_ == ExchangeOutcome::kGarbled);
  CHECK(exchange.connection_->IsClosed());
}

// Guards against the same in calls of the store, of relays and of daemons.
TEST_CASE("a call gets no response from a length above the limit",
          "[client][length]") {
  EventLoop loop;
  TestServer server(loop, [](const std::string&) {
    return TestServer::Reply{
        "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000000\r\n\r\nbody",
        false};
  });
  Client client(loop, "127.0.0.1", server.Port());
  ClientRequest request;
  request.target_ = "/";
  request.timeout_ = std::chrono::seconds(60);
  std::optional<ClientResponse> response;
  client.Call(std::move(request),
              [&response](ClientResponse r) { response = std::move(r); });
  REQUIRE(RunUntil(loop, [&response] { return response.has_value(); }));
  CHECK(response->status_ == 0);
}

// Guards against a response that exhausts the memory of a VM.
TEST_CASE("a response above the size limit is reported as garbled",
          "[client]") {
  Exchange exchange([](const std::string&) {
    return TestServer::Reply{Ok("1", std::string(5000, 'x')), false};
  });
  CHECK(exchange.Run("1").outcome_ == ExchangeOutcome::kGarbled);
}

// Guards against a replica that sends bytes without end, in a head or a body,
// until the client closes: they must neither fill the memory of a VM nor keep
// the exchange open.
TEST_CASE("a response without end is reported as garbled", "[client]") {
  const std::string head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string filler(1000, 'x');
  struct Endless {
    const char* part_;
    std::string begin_;
    std::string repeated_;
  };
  const auto endless = GENERATE_COPY(values<Endless>({
      {"bytes that are no response", "", filler},
      {"status line", "HTTP/1.1 200 ", filler},
      {"header", head + "X-Long: ", filler},
      {"headers", head, "X-Many: " + filler + "\r\n"},
      {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"body up to the end of the connection", head + "\r\n", filler},
      {"chunked body", chunked, "3e8\r\n" + filler + "\r\n"},
      {"chunk size", chunked, std::string(1000, '0')},
      {"chunk extension", chunked + "5;name=", filler},
      {"trailers", chunked + "0\r\n", "X-Many: " + filler + "\r\n"},
  }));
  Exchange exchange([&endless](const std::string&) {
    return TestServer::Reply{endless.begin_, false, endless.repeated_};
  });
  INFO(endless.part_);
  CHECK(exchange.Run("1").outcome_ == ExchangeOutcome::kGarbled);
}

// Guards against treating a refused connection as a request that may have been
// executed.
TEST_CASE("a refused connection is reported as not sent", "[client]") {
  Exchange exchange([](const std::string&) { return TestServer::Reply{}; });
  boost::asio::ip::tcp::acceptor closed(
      exchange.loop_.Context(),
      {boost::asio::ip::make_address("127.0.0.1"), 0});
  const uint16_t port = closed.local_endpoint().port();
  closed.close();
  exchange.connection_ = std::make_shared<ClientConnection>(
      exchange.loop_, "127.0.0.1", port, 1000);
  CHECK(exchange.Run("1").outcome_ == ExchangeOutcome::kNotSent);
}

// Guards against a body that is passed on without the coding that it has.
TEST_CASE("a response with a coding other than chunked is malformed",
          "[client]") {
  for (const std::string coding : {"gzip, chunked", "chunked, identity",
                                   "gzip\r\nTransfer-Encoding: chunked"}) {
    Exchange exchange([&coding](const std::string&) {
      return TestServer::Reply{
          "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
          "Transfer-Encoding: " +
              coding + "\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
          true};
    });
    INFO(coding);
    CHECK(exchange.Run("1").outcome_ == ExchangeOutcome::kGarbled);
  }
}

// Guards against an exchange that does not end with the connection, so that its
// caller waits until the deadline. Found by the fuzz test.
TEST_CASE("a response with a status below 100 is malformed", "[client]") {
  for (const std::string status : {"000", "003", "099"}) {
    Exchange exchange([&status](const std::string&) {
      return TestServer::Reply{
          "HTTP/1.1 " + status + " Early\r\n\r\n" + Ok("1", "body"), true};
    });
    INFO(status);
    CHECK(exchange.Run("1").outcome_ == ExchangeOutcome::kGarbled);
  }
}

// Guards against a status that costs the caller its deadline, or is passed on
// although RFC 9110, section 15, has no such class. The connection stays open.
TEST_CASE("a status that no response can have is malformed at once",
          "[client]") {
  for (const std::string status : {"101", "600", "700", "999"}) {
    Exchange exchange([&status](const std::string&) {
      return TestServer::Reply{"HTTP/1.1 " + status + " Odd\r\nX-Id: 1\r\n\r\n",
                               false};
    });
    INFO(status);
    CHECK(exchange.Run("1").outcome_ == ExchangeOutcome::kGarbled);
  }
}

// Guards against interim responses that are taken for malformed ones.
TEST_CASE("interim responses precede the final one", "[client]") {
  for (const std::string status : {"100", "102", "103", "199"}) {
    Exchange exchange([&status](const std::string&) {
      return TestServer::Reply{
          "HTTP/1.1 " + status + " Interim\r\n\r\n" + Ok("1", "body"), false};
    });
    INFO(status);
    CHECK(exchange.Run("1").response_.body_ == "body");
  }
}

// Guards against the same in calls of the store and probes of daemons.
TEST_CASE("a call gets no response from a malformed status", "[client]") {
  for (const std::string status : {"101", "600"}) {
    EventLoop loop;
    TestServer server(loop, [&status](const std::string&) {
      return TestServer::Reply{"HTTP/1.1 " + status + " Odd\r\n\r\n", false};
    });
    Client client(loop, "127.0.0.1", server.Port());
    ClientRequest request;
    request.target_ = "/";
    request.timeout_ = std::chrono::seconds(60);
    std::optional<ClientResponse> response;
    client.Call(std::move(request),
                [&response](ClientResponse r) { response = std::move(r); });
    INFO(status);
    REQUIRE(RunUntil(loop, [&response] { return response.has_value(); }));
    CHECK(response->status_ == 0);
  }
}

}  // namespace
}  // namespace clementinerill::http
