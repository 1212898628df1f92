#ifndef CLEMENTINERILL_HTTP_SERVER_CONNECTION_H_
#define CLEMENTINERILL_HTTP_SERVER_CONNECTION_H_

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "base/caller_limits.h"
#include "base/time.h"
#include "http/event_loop.h"
#include "http/http_message.h"

namespace clementinerill::http {

/// @brief A connection of a caller: HTTP/1.1, one request at a time.
///
/// While a request is served the connection is watched, so that a caller that
/// leaves is noticed.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  /// @brief Called with each request; the receiver calls `Respond` once.
  using Handler =
      std::function<void(std::shared_ptr<ServerConnection>, HttpRequest)>;

  ServerConnection(EventLoop& loop,
                   boost::asio::ip::tcp::socket socket,
                   const CallerLimits& limits,
                   Handler handler);

  void Start();

  /// @brief Answers the request that is being served. With `close` the
  /// connection ends after the answer.
  void Respond(const HttpResponse& answer, bool close);

  /// @brief Closes without an answer.
  void Close();

  /// @brief Called when the caller closes while its request is served.
  void OnDisconnect(std::function<void()> callback) {
    on_left_ = std::move(callback);
  }

  /// @brief Closes the connection when it is idle and `now` is past its
  /// timeouts, or at once when it is idle and `draining`.
  void CheckTimeouts(const CallerLimits& limits, bool draining, Instant now);

  [[nodiscard]] bool IsClosed() const noexcept { return closed_; }
  [[nodiscard]] bool IsServing() const noexcept { return serving_; }
  /// @brief When the first bytes of the present request arrived.
  [[nodiscard]] Instant RequestStart() const noexcept { return began_; }

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void StartParser();
  void Read();
  void OnRead(const boost::system::error_code& error, size_t bytes);
  void Parse();
  void TakeRequest();
  void Reject(int status);
  void Write(std::string bytes, bool close);
  void Written(bool close);
  [[nodiscard]] bool IsIdle() const noexcept;

  EventLoop& loop_;
  boost::asio::ip::tcp::socket socket_;
  CallerLimits limits_;
  Handler handler_;
  std::array<char, 4096> chunk_{};
  std::string in_;
  std::string out_;
  std::optional<Parser> parser_;
  std::function<void()> on_left_;
  Instant last_use_;
  Instant began_;
  bool is_head_ = false;
  bool keep_alive_ = true;
  bool serving_ = false;
  bool writing_ = false;
  bool reading_ = false;
  bool continued_ = false;  ///< `100 Continue` was sent for this request.
  bool closed_ = false;
};

}  // namespace clementinerill::http

#endif  // CLEMENTINERILL_HTTP_SERVER_CONNECTION_H_
