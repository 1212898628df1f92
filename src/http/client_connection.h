#ifndef CLEMENTINERILL_HTTP_CLIENT_CONNECTION_H_
#define CLEMENTINERILL_HTTP_CLIENT_CONNECTION_H_

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "http/event_loop.h"
#include "http/http_message.h"

namespace clementinerill::http {

/// @brief How an exchange on a connection ended.
enum class ExchangeOutcome {
  kResponse,  ///< A complete answer to the request.
  kNotSent,   ///< No byte of the request left.
  kBroken,    ///< The connection ended before a complete answer.
  kGarbled,   ///< The bytes are no answer in HTTP/1.1.
};

struct ExchangeResult {
  ExchangeOutcome outcome_ = ExchangeOutcome::kBroken;
  HttpResponse response_;
};

/// @brief One request for a connection.
struct ExchangeRequest {
  std::string bytes_;
  bool is_head_ = false;
  /// Whether an answer is one to this request; others are discarded. An
  /// answer that arrives late or twice must not be taken for the next one.
  std::function<bool(const HttpResponse&)> is_matching_response_;
};

/// @brief An HTTP/1.1 connection to one address, one exchange at a time.
///
/// Connects with the first exchange or with `Open`. Any byte or error while
/// the connection is idle closes it.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  using Handler = std::function<void(ExchangeResult)>;

  /// @param most_answer_bytes a longer answer counts as garbled.
  ClientConnection(EventLoop& loop,
                   const std::string& address,
                   uint16_t port,
                   uint64_t most_answer_bytes);

  /// @brief Connects without an exchange.
  void Open();

  /// @brief Runs one exchange; `handler` is called once, unless `Close` comes
  /// first. Only when no exchange is running.
  void Start(ExchangeRequest request, Handler handler);

  /// @brief Closes the connection and forgets the running exchange.
  void Close();

  /// @brief Probes the peer while nothing arrives, for exchanges that wait
  /// long. Before the connection is opened.
  void ProbePeer() noexcept { probes_ = true; }

  /// @brief Called once when the connection closes by itself or by `Close`.
  void OnClosed(std::function<void()> callback) {
    on_closed_ = std::move(callback);
  }

  [[nodiscard]] bool IsClosed() const noexcept { return closed_; }
  [[nodiscard]] bool IsBusy() const noexcept { return busy_; }

  /// @brief Whether another exchange may follow the one that ended.
  [[nodiscard]] bool IsReusable() const noexcept {
    return !closed_ && reusable_;
  }
  [[nodiscard]] Instant LastUse() const noexcept { return last_use_; }

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void Connect();
  void Read();
  void Write();
  void WriteRest();
  void OnRead(const boost::system::error_code& error, size_t bytes);
  void OnEnd();
  void Parse();
  void StartParser();
  void TakeAnswer();
  [[nodiscard]] bool IsTooLong() const;
  void Finish(ExchangeOutcome end, HttpResponse answer = {});
  void CloseSocket();

  EventLoop& loop_;
  boost::asio::ip::tcp::socket socket_;
  const boost::asio::ip::tcp::endpoint endpoint_;
  const uint64_t most_answer_bytes_;
  std::array<char, 4096> chunk_{};
  std::string in_;
  ExchangeRequest request_;
  size_t written_ = 0;
  Handler handler_;
  std::optional<Parser> parser_;
  std::function<void()> on_closed_;
  Instant last_use_{};
  bool connecting_ = false;
  bool connected_ = false;
  bool closed_ = false;
  bool busy_ = false;
  bool sent_ = false;
  bool reusable_ = true;
  bool probes_ = false;
};

}  // namespace clementinerill::http

#endif  // CLEMENTINERILL_HTTP_CLIENT_CONNECTION_H_
