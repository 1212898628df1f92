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

#include "base/buffer_budget.h"
#include "base/caller_limits.h"
#include "base/time.h"
#include "http/connection_use.h"
#include "http/event_loop.h"
#include "http/http_message.h"
#include "http/received_body.h"
#include "http/request_error.h"
#include "http/request_head.h"

namespace clementinerill::http {

/// @brief The server side of an HTTP/1.1 connection.
///
/// Handles one request at a time. Reading continues while a request is in
/// progress, so that a disconnect of the client is detected.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  /// @brief Called with each request, which is answered by one call of
  /// `Respond`.
  using Handler =
      std::function<void(std::shared_ptr<ServerConnection>, HttpRequest)>;

  /// @brief Called when the head of a request is complete, before its body is
  /// read. Returns the response if the request is refused.
  using HeadCheck =
      std::function<std::optional<HttpResponse>(const RequestHead&)>;

  ServerConnection(EventLoop& loop,
                   boost::asio::ip::tcp::socket socket,
                   const CallerLimits& limits,
                   Handler handler);

  void Start();

  /// @brief Counts the bytes of requests for a budget. A request beyond it is
  /// refused with status 503. To be called before `Start`.
  void SetRequestBudget(std::shared_ptr<BufferBudget> budget);

  /// @brief Counts the bytes of responses that the client has not read for a
  /// budget. `make_room` closes another connection with such a response and
  /// returns false if there is none. To be called before `Start`.
  void SetResponseBudget(std::shared_ptr<BufferBudget> budget,
                         std::function<bool()> make_room);

  /// @brief Sets the callback for requests that are rejected before they reach
  /// the handler. To be called before `Start`.
  void SetOnReject(std::function<void(RequestError)> callback) {
    on_reject_ = std::move(callback);
  }

  /// @brief Sets the check of heads. To be called before `Start`.
  void SetHeadCheck(HeadCheck check) { head_check_ = std::move(check); }

  /// @brief Sets the function that makes the responses to such requests; its
  /// status is replaced. Without it they have no body. To be called before
  /// `Start`.
  void SetRejection(std::function<HttpResponse(RequestError)> make_response) {
    make_rejection_ = std::move(make_response);
  }

  /// @brief Sends the response to the request in progress. With `close` the
  /// connection is closed afterwards.
  void Respond(const HttpResponse& response, bool close);

  /// @brief Sends an interim response to the request in progress; the final one
  /// follows by `Respond`.
  void SendInterim(int status);

  /// @brief Closes the connection without sending a response.
  void Close();

  /// @brief Sets the callback for a disconnect of the client while its request
  /// is in progress. `Respond` and `Close` remove it.
  void OnDisconnect(std::function<void()> callback) {
    on_disconnect_ = std::move(callback);
  }

  /// @brief Closes an idle connection after the idle timeout, or at once if
  /// `draining`; rejects a request that is not received in time.
  void CheckTimeouts(const CallerLimits& limits, bool draining, Instant now);

  /// @brief Whether the client has closed the connection, as far as its packets
  /// have arrived. Data that was sent before may not have been read yet.
  [[nodiscard]] bool IsPeerClosed();

  /// @brief Whether a part of a response is not sent yet and counts for the
  /// budget.
  [[nodiscard]] bool HasUnsentResponse() const noexcept {
    return !closed_ && has_unsent_response_;
  }
  /// @brief When bytes of the response were last taken by the network.
  [[nodiscard]] Instant LastProgress() const noexcept { return last_progress_; }

  /// @brief Closes the connection although its response is not sent.
  void DropResponse(Instant now);

  [[nodiscard]] bool IsClosed() const noexcept { return closed_; }
  [[nodiscard]] ConnectionState State() const noexcept {
    if (serving_) {
      return {ConnectionUse::kServing, request_start_};
    }
    if (writing_) {
      return {ConnectionUse::kSending, last_progress_};
    }
    return IsIdle() && has_responded_
               ? ConnectionState{ConnectionUse::kIdle, last_use_}
               : ConnectionState{ConnectionUse::kReceiving, request_start_};
  }
  [[nodiscard]] bool IsServing() const noexcept { return serving_; }
  /// @brief When the first bytes of the current request were received.
  [[nodiscard]] Instant RequestStart() const noexcept { return request_start_; }

 private:
  /// Runs a handler of the event loop; an exception ends the request, and the
  /// connection with it.
  template <typename Task>
  void Contain(Task&& task) {
    loop_.Guard().Run(HandlerKind::kRequest, task, [this] { OnException(); });
  }
  void OnException();

  using Parser = boost::beast::http::request_parser<ReceivedBody>;

  void ResetParser();
  void Read();
  void OnRead(const boost::system::error_code& error, size_t bytes);
  void Disconnect();
  void Parse();
  void DispatchRequest();
  [[nodiscard]] std::optional<RequestError> CheckHeader();
  [[nodiscard]] bool RefuseByHead();
  void Reject(RequestError error);
  [[nodiscard]] uint64_t BufferedBytes() const;
  void Write(std::string bytes, bool close);
  void WriteRest(bool close);
  void OnWrittenSome(const boost::system::error_code& error,
                     size_t bytes,
                     bool close);
  void HoldResponse();
  void OnWritten(bool close);
  [[nodiscard]] bool IsIdle() const noexcept;

  EventLoop& loop_;
  boost::asio::ip::tcp::socket socket_;
  CallerLimits limits_;
  Handler handler_;
  std::array<char, 4096> read_buffer_{};
  std::string input_;
  std::string output_;
  std::optional<Parser> parser_;
  size_t sent_ = 0;  ///< Bytes of `output_`.
  BufferHold response_hold_;
  std::function<bool()> make_room_;
  Instant last_progress_;
  BufferHold request_hold_;  ///< Of the bytes received, until the response.
  uint64_t serving_body_bytes_ = 0;  ///< Of the request in progress.
  std::function<void()> on_disconnect_;
  std::function<void(RequestError)> on_reject_;
  HeadCheck head_check_;
  std::function<HttpResponse(RequestError)> make_rejection_;
  Instant last_use_;
  Instant request_start_;
  bool is_head_ = false;
  bool keep_alive_ = true;
  bool serving_ = false;
  bool writing_ = false;
  bool has_unsent_response_ = false;
  bool has_responded_ = false;  ///< At least once.
  bool reading_ = false;
  bool header_checked_ = false;  ///< Of this request.
  bool continue_sent_ = false;   ///< `100 Continue`, for this request.
  bool discarding_ = false;      ///< The rest of a refused request.
  bool closed_ = false;
};

}  // namespace clementinerill::http

#endif  // CLEMENTINERILL_HTTP_SERVER_CONNECTION_H_
