#ifndef CLEMENTINERILL_HTTP_LISTENER_H_
#define CLEMENTINERILL_HTTP_LISTENER_H_

#include <cstdint>
#include <functional>
#include <limits>
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

  /// @brief Sets the function that makes the responses to such requests, on
  /// connections that are accepted from now on.
  void SetRejection(std::function<HttpResponse(RequestError)> make_response) {
    make_rejection_ = std::move(make_response);
  }

  /// @brief Sets the most open connections. Another one closes that which
  /// `ChooseConnectionToClose` returns; without one, it waits to be accepted.
  void SetMaxConnections(size_t count) { max_connections_ = count; }

  void SetLimits(const CallerLimits& limits) { limits_ = limits; }

  /// @brief The number of connections with a request in progress.
  [[nodiscard]] size_t CountServing() const;
  [[nodiscard]] size_t CountOpen() const { return connections_.size(); }
  /// @brief The number of connections closed so far to make room.
  [[nodiscard]] uint64_t CountClosedForRoom() const { return closed_for_room_; }

 private:
  using Connections = std::list<std::shared_ptr<ServerConnection>>;

  void Accept();
  void AcceptLater();
  void OnAccepted(const boost::system::error_code& error,
                  boost::asio::ip::tcp::socket socket);
  void OnAcceptFailed(const boost::system::error_code& error);
  void Open(boost::asio::ip::tcp::socket socket);
  void Start(ServerConnection& connection);
  [[nodiscard]] bool HasRoom();
  [[nodiscard]] Connections::iterator FindConnectionToClose();
  bool CloseOneForRoom();
  void RemoveClosed();
  bool DropLeastRecentlyRead();

  EventLoop& loop_;
  boost::asio::ip::tcp::acceptor acceptor_;
  ServerConnection::Handler handler_;
  CallerLimits limits_;
  std::shared_ptr<BufferBudget> request_budget_;
  std::shared_ptr<BufferBudget> response_budget_;
  std::function<void(RequestError)> on_reject_;
  ServerConnection::HeadCheck head_check_;
  std::function<HttpResponse(RequestError)> make_rejection_;
  size_t max_connections_ = std::numeric_limits<size_t>::max();
  uint64_t closed_for_room_ = 0;
  /// Whether a connection or the end of a delay is awaited. An exception may
  /// end both; `CheckTimeouts` begins again.
  bool is_accepting_ = false;
  Connections connections_;
};

}  // namespace clementinerill::http

#endif  // CLEMENTINERILL_HTTP_LISTENER_H_
