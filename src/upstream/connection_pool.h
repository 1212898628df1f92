#ifndef CLEMENTINERILL_UPSTREAM_CONNECTION_POOL_H_
#define CLEMENTINERILL_UPSTREAM_CONNECTION_POOL_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "base/result.h"
#include "base/time.h"
#include "connections/replica_connections.h"
#include "upstream/acquire_error.h"
#include "upstream/exchange_result.h"
#include "upstream/upstream_session.h"

namespace clementinerill {

/// @brief A connection leased from a `ConnectionPool`.
struct LeasedConnection {
  uint64_t id_ = 0;
  std::shared_ptr<UpstreamSession> session_;
};

/// @brief Pool of the daemon's connections to one upstream. Thread-safe.
class ConnectionPool {
 public:
  ConnectionPool(std::string address, uint16_t port);

  /// @brief Replaces the limits. Connections in excess of a lowered limit are
  /// closed once they are idle.
  void SetPolicy(const ConnectionPolicy& policy);

  /// @brief Leases an idle connection, or opens one if the limit allows it.
  ///
  /// Waits until `deadline` for a connection when the limit is reached.
  /// @param is_protected The exchange is non-idempotent. The connection must
  /// have had a recent response; otherwise it is first probed with `/ping`.
  [[nodiscard]] tl::expected<LeasedConnection, AcquireError> Acquire(
      bool is_protected,
      Instant deadline);

  /// @brief Returns a connection that is at a message boundary to the pool.
  void Release(const LeasedConnection& connection);

  /// @brief Closes a connection with an unfinished exchange.
  /// @return Whether the connection had been condemned as silent.
  bool Discard(const LeasedConnection& connection);

  /// @brief Records that the upstream confirmed the cancellation of the
  /// exchange on a connection.
  void NoteCancelConfirmed(uint64_t id);

  /// @brief Condemns connections that have stopped responding and shuts them
  /// down, so that their exchanges end with an error.
  /// @return The number of connections shut down.
  int CondemnSilent(Instant now);

  /// @brief Number of connections to open in advance of demand.
  [[nodiscard]] int CountToOpen() const;

  /// @brief Opens a connection, verifies it with `/ping` and keeps it idle.
  /// @return The signals that the upstream reports, or the error.
  [[nodiscard]] Result<UpstreamSignals> OpenAhead();

  /// @brief Number of open connections, including those being established.
  [[nodiscard]] int CountOpen() const;

 private:
  struct Entry {
    std::shared_ptr<UpstreamSession> session_;
  };

  [[nodiscard]] tl::expected<LeasedConnection, AcquireError> Open(
      std::unique_lock<std::mutex>& lock,
      bool busy,
      bool is_protected,
      Instant deadline);
  [[nodiscard]] Result<UpstreamSignals> ProbeOrDiscard(
      const LeasedConnection& connection);
  [[nodiscard]] bool LeaseIdleConnection(bool is_protected,
                                         LeasedConnection& leased);
  void Erase(uint64_t id);

  const std::string address_;
  const uint16_t port_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  ConnectionPolicy policy_;
  ReplicaConnections connections_;
  std::map<uint64_t, Entry> entries_;
  uint64_t last_id_ = 0;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_UPSTREAM_CONNECTION_POOL_H_
