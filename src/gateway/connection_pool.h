#ifndef CLEMENTINERILL_GATEWAY_CONNECTION_POOL_H_
#define CLEMENTINERILL_GATEWAY_CONNECTION_POOL_H_

#include <map>
#include <memory>
#include <vector>

#include "base/time.h"
#include "http/client_connection.h"
#include "traffic/fleet_state.h"

namespace clementinerill::gateway {

/// @brief Connections of this daemon to replicas.
///
/// Keeps the counts of `ReplicaState` true, by which the choice of a replica
/// stays within the connections that this daemon may hold.
class ConnectionPool {
 public:
  explicit ConnectionPool(http::EventLoop& loop) : loop_(loop) {}

  /// @brief An idle connection that was used within `most_idle`, the last used
  /// first, or a new one.
  [[nodiscard]] std::shared_ptr<http::ClientConnection> Acquire(
      const std::shared_ptr<traffic::ReplicaState>& replica,
      Duration most_idle,
      Instant now);

  /// @brief Returns a connection after an exchange; kept when it is reusable.
  /// `keep_alive` is how long the replica keeps it open.
  void Release(const std::shared_ptr<traffic::ReplicaState>& replica,
               const std::shared_ptr<http::ClientConnection>& connection,
               std::optional<Duration> keep_alive,
               Instant now);

  /// @brief Opens connections to replicas that have none, closes those to
  /// replicas that are gone and those about to reach their idle timeout; for a
  /// periodic call.
  void Maintain(const traffic::FleetState& fleet, Instant now);

 private:
  struct IdleConnection {
    std::shared_ptr<http::ClientConnection> connection_;
    Instant usable_until_ = Instant::max();
  };

  struct Entry {
    std::shared_ptr<traffic::ReplicaState> replica_;
    std::vector<IdleConnection> idle_;  ///< The last used at the end.
    Instant open_again_{};              ///< After a failure to connect.
  };

  [[nodiscard]] std::shared_ptr<http::ClientConnection> MakeConnection(
      const std::shared_ptr<traffic::ReplicaState>& replica);
  void AddIdle(Entry& entry, IdleConnection idle);
  void RemoveIdle(traffic::ReplicaState* replica,
                  const http::ClientConnection* connection);
  void CloseExpired(Entry& entry, Instant now);
  void CloseIdle(Entry& entry, Instant now);
  void OpenFirst(Entry& entry, Instant now);

  http::EventLoop& loop_;
  std::map<traffic::ReplicaState*, Entry> entries_;
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_CONNECTION_POOL_H_
