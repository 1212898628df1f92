#ifndef CLEMENTINERILL_HTTP_LISTENER_H_
#define CLEMENTINERILL_HTTP_LISTENER_H_

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/ip/tcp.hpp>

#include "base/result.h"
#include "http/event_loop.h"
#include "http/server_connection.h"

namespace clementinerill::http {

/// @brief Accepts connections on one address and owns the open ones.
class Listener {
 public:
  Listener(EventLoop& loop, ServerConnection::Handler handler);

  /// @brief Binds, starts accepting and returns the bound port.
  [[nodiscard]] Result<uint16_t> Listen(const std::string& address,
                                        uint16_t port);

  /// @brief Stops accepting connections; open ones stay open.
  void StopAccepting();

  /// @brief Closes connections that exceeded their timeouts and releases closed
  /// ones; to be called periodically. With `draining`, closes all idle ones.
  void CheckTimeouts(bool draining, Instant now);

  /// @brief Sets the budget for the requests on connections that are accepted
  /// from now on.
  void SetRequestBudget(std::shared_ptr<BufferBudget> budget) {
    request_budget_ = std::move(budget);
  }

  /// @brief Sets the budget for the responses that clients have not read, on
  /// connections that are accepted from now on. The response that was read
  /// least recently makes room for a new one.
  void SetResponseBudget(std::shared_ptr<BufferBudget> budget) {
    response_budget_ = std::move(budget);
  }

  /// @brief Sets the callback for requests that are rejected before they reach
  /// the handler, on connections that are accepted from now on.
  void SetOnReject(std::function<void(RequestError)> callback) {
    on_reject_ = std::move(callback);
  }

  /// @brief Sets the check of heads, on connections that are accepted from now
  /// on.
  void SetHeadCheck(ServerConnection::HeadCheck check) {
    head_check_ = std::move(check);
  }

  void SetLimits(const CallerLimits& limits) { limits_ = limits; }

  /// @brief The number of connections with a request in progress.
  [[nodiscard]] size_t CountServing() const;
  [[nodiscard]] size_t CountOpen() const { return connections_.size(); }

 private:
  void Accept();
  bool DropLeastRecentlyRead();

  EventLoop& loop_;
  boost::asio::ip::tcp::acceptor acceptor_;
  ServerConnection::Handler handler_;
  CallerLimits limits_;
  std::shared_ptr<BufferBudget> request_budget_;
  std::shared_ptr<BufferBudget> response_budget_;
  std::function<void(RequestError)> on_reject_;
  ServerConnection::HeadCheck head_check_;
  std::list<std::shared_ptr<ServerConnection>> connections_;
};

}  // namespace clementinerill::http

#endif  // CLEMENTINERILL_HTTP_LISTENER_H_
