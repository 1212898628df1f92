#ifndef CLEMENTINERILL_HTTP_CLIENT_H_
#define CLEMENTINERILL_HTTP_CLIENT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/time.h"
#include "http/client_connection.h"
#include "http/event_loop.h"

namespace clementinerill::http {

/// @brief One call of a server.
struct ClientRequest {
  std::string method_ = "GET";
  std::string target_;
  std::string body_;
  std::string content_type_ = "application/json";  ///< Of the body.
  Duration timeout_{};
};

/// @brief A server's answer; a status of 0 means that none came, and then a
/// write may have taken effect or may still do so.
struct ClientResponse {
  int status_ = 0;
  std::string body_;
};

/// @brief Says in a log line how a call failed.
[[nodiscard]] std::string DescribeFailure(const ClientResponse& reply);

/// @brief Calls one address over a kept connection, one call at a time.
class Client {
 public:
  Client(EventLoop& loop, std::string address, uint16_t port);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// @brief Starts a call; `handler` is called once unless `Cancel` comes
  /// first. Only when no call is running.
  void Call(ClientRequest call, std::function<void(ClientResponse)> handler);

  /// @brief Forgets the running call and closes its connection.
  void Cancel();

 private:
  void Finish(ClientResponse reply);
  void StopTimer();

  EventLoop& loop_;
  const std::string address_;
  const uint16_t port_;
  std::shared_ptr<ClientConnection> connection_;
  std::function<void(ClientResponse)> handler_;
  std::optional<TimerQueue::Id> timeout_;
};

}  // namespace clementinerill::http

#endif  // CLEMENTINERILL_HTTP_CLIENT_H_
