#ifndef CLEMENTINERILL_GATEWAY_CONNECTION_POOL_H_
#define CLEMENTINERILL_GATEWAY_CONNECTION_POOL_H_

#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "base/buffer_budget.h"
#include "base/time.h"
#include "http/client_connection.h"
#include "traffic/fleet_state.h"

namespace clementinerill::gateway {

/// @brief The pool of this daemon's connections to replicas.
///
/// Maintains the connection counters of `ReplicaState`. Replica selection uses
/// them to stay within the connection limit of this daemon.
class ConnectionPool {
 public:
  /// @param response_budget limit of the bytes of all responses that are
  /// received or not passed on yet.
  ConnectionPool(http::EventLoop& loop,
                 std::shared_ptr<BufferBudget> response_budget)
      : loop_(loop), response_budget_(std::move(response_budget)) {}

  /// @brief Returns the most recently used idle connection if it was used
  /// within `max_idle`, otherwise a new connection.
  [[nodiscard]] std::shared_ptr<http::ClientConnection> Acquire(
      const std::shared_ptr<traffic::ReplicaState>& replica,
      Duration max_idle,
      Instant now);

  /// @brief Returns a connection to the pool after an exchange, or closes it
  /// when it is not reusable. `keep_alive` is the replica's idle timeout.
  void Release(const std::shared_ptr<traffic::ReplicaState>& replica,
               const std::shared_ptr<http::ClientConnection>& connection,
               std::optional<Duration> keep_alive,
               Instant now);

  /// @brief Connects to replicas without a connection, and closes connections
  /// that are about to reach their idle timeout or whose replica is no longer
  /// listed. Call periodically.
  void Maintain(const traffic::FleetState& fleet, Instant now);

 private:
  struct IdleConnection {
    std::shared_ptr<http::ClientConnection> connection_;
    Instant usable_until_ = Instant::max();
  };

  struct Entry {
    std::shared_ptr<traffic::ReplicaState> replica_;
    std::vector<IdleConnection> idle_;  ///< The most recently used last.
    Instant reconnect_at_{};            ///< Earliest time of the next connect.
  };

  [[nodiscard]] std::shared_ptr<http::ClientConnection> MakeConnection(
      const std::shared_ptr<traffic::ReplicaState>& replica);
  void AddIdle(Entry& entry, IdleConnection idle);
  void RemoveIdle(traffic::ReplicaState* replica,
                  const http::ClientConnection* connection);
  void CloseExpired(Entry& entry, Instant now);
  void CloseExcessIdle(Entry& entry, Instant now);
  void Preconnect(Entry& entry, Instant now);

  http::EventLoop& loop_;
  const std::shared_ptr<BufferBudget> response_budget_;
  std::map<traffic::ReplicaState*, Entry> entries_;
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_CONNECTION_POOL_H_
