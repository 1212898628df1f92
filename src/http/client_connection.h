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

#include "base/buffer_budget.h"
#include "base/name_table.h"
#include "http/event_loop.h"
#include "http/http_message.h"
#include "http/received_body.h"

namespace clementinerill::http {

/// @brief The outcome of one request and response on a connection.
enum class ExchangeOutcome {
  kResponse,   ///< A complete response to the request was received.
  kNotSent,    ///< The connection failed before any byte was written.
  kBroken,     ///< The connection closed before the response was complete.
  kGarbled,    ///< Malformed, mismatched, too long or endless response.
  kWithdrawn,  ///< Not sent: `ExchangeRequest::make_bytes_` had no result.
};

/// @brief The limit because of which a response was cut off.
enum class ResponseLimit {
  kNone,
  kSize,     ///< Of one response or of a part of its framing.
  kBuffers,  ///< Of the bytes that are kept of all responses.
};

inline constexpr std::array<NameEntry<ResponseLimit>, 3> kResponseLimitNames = {
    {
        {ResponseLimit::kNone, "none"},
        {ResponseLimit::kSize, "size"},
        {ResponseLimit::kBuffers, "buffers"},
    }};

struct ExchangeResult {
  ExchangeOutcome outcome_ = ExchangeOutcome::kBroken;
  /// If it is not complete: its status and headers, once they were received.
  HttpResponse response_;
  ResponseLimit cut_off_by_ = ResponseLimit::kNone;  ///< If garbled.
  BufferHold hold_;  ///< Counts the bytes of the body.
};

/// @brief A serialized request and the rule for matching its response.
struct ExchangeRequest {
  std::string bytes_;
  /// Makes `bytes_` when the connection can send them, which may be long after
  /// `ClientConnection::Start`: a lost packet delays a connection by seconds.
  /// Without a result the request is not sent, and the connection can be used
  /// for another one. Optional.
  std::function<std::optional<std::string>()> make_bytes_;
  bool is_head_ = false;
  /// Whether a response belongs to this request; others are discarded, because
  /// a late or duplicate response must not be taken for that of a later
  /// request. Optional; without it every response matches.
  std::function<bool(const HttpResponse&)> is_matching_response_;
  /// Called with each response that does not end the exchange: interim ones
  /// (RFC 9110 section 15.2) and those that do not match. Optional.
  std::function<void(const HttpResponse&)> on_other_response_;
};

/// @brief The client side of an HTTP/1.1 connection to one address.
///
/// Runs one exchange at a time. Connects on the first exchange or on `Open`.
/// Any data or error on an idle connection closes it.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  using Handler = std::function<void(ExchangeResult)>;

  /// @param max_response_bytes limit of the body; a longer response ends the
  /// exchange with `ExchangeOutcome::kGarbled`.
  ClientConnection(EventLoop& loop,
                   const std::string& address,
                   uint16_t port,
                   uint64_t max_response_bytes);

  /// @brief Connects ahead of the first exchange.
  void Open();

  /// @brief Starts an exchange; `handler` is called once unless `Close` is
  /// called first.
  ///
  /// Must not be called while another exchange is in progress. After an
  /// exception, such as `std::bad_alloc`, the caller ends it by `Close`.
  void Start(ExchangeRequest request, Handler handler);

  /// @brief Closes the connection and abandons the exchange in progress without
  /// calling its handler.
  void Close();

  /// @brief Enables TCP keep-alive, which detects a dead peer during long
  /// polls.
  ///
  /// Takes effect when the connection is opened.
  void EnableKeepAlive() noexcept { tcp_keep_alive_ = true; }

  /// @brief Counts the bytes of responses for an account. A response beyond its
  /// budget ends the exchange with `ExchangeOutcome::kGarbled`.
  void SetBufferAccount(std::shared_ptr<BufferAccount> account);

  /// @brief Sets the callback that is called once when the connection closes,
  /// for whatever reason.
  void OnClosed(std::function<void()> callback) {
    on_closed_ = std::move(callback);
  }

  [[nodiscard]] bool IsClosed() const noexcept { return closed_; }
  [[nodiscard]] bool IsBusy() const noexcept { return busy_; }
  /// @brief Whether bytes of the request in progress may have been sent. If
  /// not, `Close` takes the request back.
  [[nodiscard]] bool HasSent() const noexcept { return sent_; }
  /// @brief Whether the connection is established.
  [[nodiscard]] bool IsConnected() const noexcept {
    return connected_ && !closed_;
  }

  /// @brief Whether the connection can be used for another exchange.
  [[nodiscard]] bool IsReusable() const noexcept {
    return !closed_ && reusable_;
  }
  [[nodiscard]] Instant LastUse() const noexcept { return last_use_; }

 private:
  /// Runs a handler of the event loop; an exception ends the exchange.
  template <typename Task>
  void Contain(Task&& task) {
    loop_.Guard().Run(HandlerKind::kExchange, task, [this] { OnException(); });
  }
  void OnException();
  /// Runs a member function later in the same way.
  void Post(void (ClientConnection::*task)());

  using Parser = boost::beast::http::response_parser<ReceivedBody>;

  void Connect();
  void OnConnected(const boost::system::error_code& error);
  void Read();
  void Write();
  void WriteRest();
  void OnRead(const boost::system::error_code& error, size_t bytes);
  void OnWithdrawn();
  void OnConnectionEnd();
  void Parse();
  void ResetParser();
  void HandleResponse();
  void OnOtherResponse(const HttpResponse& response);
  [[nodiscard]] HttpResponse IncompleteResponse() const;
  [[nodiscard]] bool ExceedsLimit() const;
  [[nodiscard]] uint64_t BufferedBytes() const;
  void CutOff(ResponseLimit limit);
  void Finish(ExchangeOutcome outcome, HttpResponse response = {});
  void CloseSocket();

  EventLoop& loop_;
  boost::asio::ip::tcp::socket socket_;
  const boost::asio::ip::tcp::endpoint endpoint_;
  const uint64_t max_response_bytes_;
  std::array<char, 4096> read_buffer_{};
  std::string input_;
  ExchangeRequest request_;
  size_t written_ = 0;
  int interim_responses_ = 0;  ///< Received for this request.
  Handler handler_;
  std::optional<Parser> parser_;
  std::shared_ptr<BufferAccount> buffer_account_;
  BufferHold hold_;  ///< Of the response in progress.
  ResponseLimit cut_off_by_ = ResponseLimit::kNone;
  std::function<void()> on_closed_;
  Instant last_use_{};
  bool connecting_ = false;
  bool connected_ = false;
  bool closed_ = false;
  bool busy_ = false;
  bool sent_ = false;
  bool reusable_ = true;
  bool tcp_keep_alive_ = false;
};

}  // namespace clementinerill::http

#endif  // CLEMENTINERILL_HTTP_CLIENT_CONNECTION_H_
