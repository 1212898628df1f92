#ifndef CLEMENTINERILL_HTTP_CLIENT_H_
#define CLEMENTINERILL_HTTP_CLIENT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/time.h"
#include "http/client_connection.h"
#include "http/event_loop.h"
#include "http/http_message.h"

namespace clementinerill::http {

/// @brief A request that `Client` sends.
struct ClientRequest {
  std::string method_ = "GET";
  std::string target_;
  std::string body_;
  std::string content_type_ = "application/json";  ///< Sent with a body only.
  Headers headers_;                                ///< Additional ones.
  Duration timeout_{};
};

/// @brief The response to a request.
///
/// A status of 0 means that no response was received; a write may then have
/// taken effect or may still do so.
struct ClientResponse {
  int status_ = 0;
  std::string body_;
  Headers headers_ = {};
  /// Whether the handler has thrown an exception when it was called with the
  /// response that was received; the status is 0 then.
  bool handler_failed_ = false;
};

/// @brief Describes a failed request for a log line.
[[nodiscard]] std::string DescribeFailure(const ClientResponse& response);

/// @brief Sends requests to one address over a persistent connection, one at a
/// time.
class Client {
 public:
  Client(EventLoop& loop, std::string address, uint16_t port);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// @brief Sends a request; `handler` is called once unless `Cancel` is called
  /// first. If it throws an exception before it calls `Call`, it is called once
  /// more with `ClientResponse::handler_failed_`, so that it can try again.
  ///
  /// Must not be called while another request is in progress. On a timeout the
  /// connection is closed.
  void Call(ClientRequest request, std::function<void(ClientResponse)> handler);

  /// @brief Whether a request is in progress.
  [[nodiscard]] bool IsBusy() const noexcept { return handler_ != nullptr; }

  /// @brief Abandons the request in progress and closes its connection.
  void Cancel();

 private:
  using Handler = std::function<void(ClientResponse)>;

  void Send(ClientRequest request);
  void Finish(ClientResponse response);
  void StopTimer();

  EventLoop& loop_;
  const std::string address_;
  const uint16_t port_;
  std::shared_ptr<ClientConnection> connection_;
  Handler handler_;
  std::optional<TimerQueue::Id> timeout_;
};

}  // namespace clementinerill::http

#endif  // CLEMENTINERILL_HTTP_CLIENT_H_
