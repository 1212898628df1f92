#include <atomic>
#include <string>
#include <thread>

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <catch2/catch.hpp>

#include "upstream/http_exchange.h"

namespace clementinerill {
namespace {

using std::chrono::milliseconds;

constexpr Duration kDeadline = milliseconds(400);
// Delay of a busy test machine, beyond the deadline of an exchange.
constexpr Duration kMargin = milliseconds(800);

Instant Now() {
  return std::chrono::steady_clock::now();
}

/// An upstream that sends `begin` to its first caller, then `repeated` until
/// the caller closes, with a pause after each; with an empty `repeated` it
/// closes instead.
class EndlessUpstream {
 public:
  EndlessUpstream(std::string begin, std::string repeated, Duration pause)
      : socket_(Poco::Net::SocketAddress("127.0.0.1", 0)),
        thread_([this,
                 begin = std::move(begin),
                 repeated = std::move(repeated),
                 pause] {
          try {
            Serve(begin, repeated, pause);
          } catch (const Poco::Exception&) {
            // The caller has closed the connection.
          }
        }) {}

  ~EndlessUpstream() {
    stopping_ = true;
    thread_.join();
  }

  ExchangeResult Call() {
    const auto session = UpstreamSession::Connect(
        "127.0.0.1", socket_.address().port(), std::chrono::seconds(1));
    ExchangeRequest request;
    request.fans_out_ = false;
    request.body_ = "{}";
    request.deadline_ = Now() + kDeadline;
    return RunExchange(*session, request, Now());
  }

 private:
  void Serve(const std::string& begin,
             const std::string& repeated,
             Duration pause) {
    Poco::Net::StreamSocket peer = socket_.acceptConnection();
    char request[1024];
    peer.receiveBytes(request, sizeof(request));
    Send(peer, begin);
    while (!stopping_ && !repeated.empty()) {
      Send(peer, repeated);
      std::this_thread::sleep_for(pause);
    }
  }

  static void Send(Poco::Net::StreamSocket& peer, const std::string& bytes) {
    if (!bytes.empty()) {
      peer.setSendTimeout(Poco::Timespan(0, 100000));
      peer.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    }
  }

  Poco::Net::ServerSocket socket_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

const std::string kHead =
    "HTTP/1.1 200 OK\r\nX-Index-Version: 3\r\nX-Partition-Map: 2\r\n";

// Guards against an upstream that sends bytes without end, or one by one: they
// must neither keep the exchange open beyond its deadline nor fill the memory.
TEST_CASE("a response without end is given up at the deadline", "[exchange]") {
  const std::string chunked = kHead + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string filler(1000, 'x');
  struct Endless {
    const char* part_;
    std::string begin_;
    std::string repeated_;
    milliseconds pause_;
  };
  const auto endless = GENERATE_COPY(values<Endless>({
      {"header", kHead + "X-Long: ", filler, milliseconds(0)},
      {"headers", kHead, "X-Many: " + filler + "\r\n", milliseconds(0)},
      {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n",
       milliseconds(0)},
      {"body", kHead + "\r\n", filler, milliseconds(0)},
      {"body of a length that no response has",
       kHead + "Content-Length: 1000000000000000\r\n\r\n", filler,
       milliseconds(0)},
      {"chunk of such a length", chunked + "38d7ea4c68000\r\n", filler,
       milliseconds(0)},
      {"chunked body", chunked, "3e8\r\n" + filler + "\r\n", milliseconds(0)},
      {"chunk extension", chunked + "5;name=", filler, milliseconds(0)},
      {"body byte by byte", kHead + "\r\n", "x", milliseconds(50)},
  }));
  EndlessUpstream upstream(endless.begin_, endless.repeated_, endless.pause_);
  INFO(endless.part_);
  const Instant begin = Now();
  const ExchangeResult result = upstream.Call();
  CHECK(result.result_ != AttemptResult::kAnswered);
  CHECK(ToMilliseconds(Now() - begin) <= ToMilliseconds(kDeadline + kMargin));
}

// Guards against an upstream that stops in its response and closes: a head that
// ends early must not pass for an answer.
TEST_CASE("a response that ends early is no answer", "[exchange]") {
  const std::string whole = kHead + "Content-Length: 7\r\n\r\n{\"a\":1}";
  for (size_t length = 0; length < whole.size(); ++length) {
    EndlessUpstream upstream(whole.substr(0, length), "", {});
    INFO(whole.substr(0, length));
    CHECK(upstream.Call().result_ != AttemptResult::kAnswered);
  }
  EndlessUpstream upstream(whole, "", {});
  CHECK(upstream.Call().result_ == AttemptResult::kAnswered);
}

// Guards against a status outside RFC 9110, section 15, that is taken for an
// error of the upstream, after which the connection would be used again.
TEST_CASE("a status that no response can have is malformed", "[exchange]") {
  for (const std::string status : {"099", "101", "600", "999"}) {
    EndlessUpstream upstream(
        "HTTP/1.1 " + status + " Odd\r\nContent-Length: 0\r\n\r\n", "", {});
    INFO(status);
    const ExchangeResult result = upstream.Call();
    CHECK(result.result_ == AttemptResult::kMalformed);
    CHECK_FALSE(IsWholeAnswer(result));
  }
}

// Guards against an interim response that is taken for the final one, which
// would then be taken for the response to the next request.
TEST_CASE("interim responses precede the final one", "[exchange]") {
  for (const std::string status : {"100", "102", "103"}) {
    EndlessUpstream upstream("HTTP/1.1 " + status + " Interim\r\n\r\n" + kHead +
                                 "Content-Length: 7\r\n\r\n{\"a\":1}",
                             "", {});
    INFO(status);
    CHECK(upstream.Call().result_ == AttemptResult::kAnswered);
  }
}

}  // namespace
}  // namespace clementinerill
