#ifndef CLEMENTINERILL_TESTS_HTTP_TEST_SERVER_H_
#define CLEMENTINERILL_TESTS_HTTP_TEST_SERVER_H_

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "http/event_loop.h"

namespace clementinerill::http {

/// A server that answers each request with bytes chosen by the test, which need
/// not be valid HTTP.
class TestServer {
 public:
  struct Reply {
    std::string bytes_;   ///< Written unchanged.
    bool close_ = false;  ///< Whether to close the connection afterwards.
    /// If not empty, written again and again until the client closes.
    std::string repeated_ = {};
  };
  /// Called with the header section of each request.
  using Handler = std::function<Reply(const std::string& head)>;

  TestServer(EventLoop& loop, Handler handler)
      : acceptor_(loop.Context(),
                  {boost::asio::ip::make_address("127.0.0.1"), 0}),
        filler_(loop.Context()),
        handler_(std::move(handler)) {
    Accept();
  }

  /// A server whose accept queue is full until `Accept` is called. Connections
  /// opened before then are established about a second after they were opened,
  /// when the kernel sends their first packet again.
  static std::unique_ptr<TestServer> WithFullQueue(EventLoop& loop,
                                                   Handler handler) {
    return std::unique_ptr<TestServer>(
        new TestServer(loop, std::move(handler), FullQueue{}));
  }

  /// Accepts connections from now on.
  void Accept() {
    acceptor_.async_accept([this](const auto& error, auto socket) {
      if (error) {
        return;
      }
      ++connections_;
      Serve(std::make_shared<Session>(std::move(socket)));
      Accept();
    });
  }

  [[nodiscard]] uint16_t Port() const {
    return acceptor_.local_endpoint().port();
  }
  /// The number of connections accepted so far.
  [[nodiscard]] int Connections() const { return connections_; }

 private:
  struct Session {
    explicit Session(boost::asio::ip::tcp::socket socket)
        : socket_(std::move(socket)) {}
    boost::asio::ip::tcp::socket socket_;
    std::string input_;
    std::string output_;
  };

  struct FullQueue {};

  TestServer(EventLoop& loop, Handler handler, FullQueue /*tag*/)
      : acceptor_(loop.Context()),
        filler_(loop.Context()),
        handler_(std::move(handler)) {
    acceptor_.open(boost::asio::ip::tcp::v4());
    acceptor_.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
    // Linux queues one connection more than the length that it is given.
    acceptor_.listen(0);
    filler_.connect(acceptor_.local_endpoint());
  }

  void Serve(const std::shared_ptr<Session>& session) {
    boost::asio::async_read_until(
        session->socket_, boost::asio::dynamic_buffer(session->input_),
        "\r\n\r\n", [this, session](const auto& error, size_t size) {
          if (error) {
            return;
          }
          const Reply reply = handler_(session->input_.substr(0, size));
          session->input_.erase(0, size);
          session->output_ = reply.bytes_;
          boost::asio::async_write(
              session->socket_, boost::asio::buffer(session->output_),
              [this, session, reply](const auto& failed, size_t /*size*/) {
                if (failed || reply.close_) {
                  return;
                }
                if (!reply.repeated_.empty()) {
                  Repeat(session, reply.repeated_);
                  return;
                }
                Serve(session);
              });
        });
  }

  void Repeat(const std::shared_ptr<Session>& session,
              const std::string& bytes) {
    session->output_ = bytes;
    boost::asio::async_write(
        session->socket_, boost::asio::buffer(session->output_),
        [this, session, bytes](const auto& failed, size_t /*size*/) {
          if (!failed) {
            Repeat(session, bytes);
          }
        });
  }

  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::socket filler_;  ///< Fills the accept queue.
  Handler handler_;
  int connections_ = 0;
};

/// Runs the loop until `done` returns true, for at most 5 s; returns the last
/// result of `done`.
inline bool RunUntil(EventLoop& loop, const std::function<bool()>& done) {
  const Instant end = EventLoop::Now() + std::chrono::seconds(5);
  while (!done() && EventLoop::Now() < end) {
    loop.Context().restart();
    loop.Context().run_one_for(std::chrono::milliseconds(20));
  }
  return done();
}

}  // namespace clementinerill::http

#endif  // CLEMENTINERILL_TESTS_HTTP_TEST_SERVER_H_
