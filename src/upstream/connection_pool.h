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

/// @brief A connection on loan from a pool.
struct LeasedConnection {
  uint64_t id_ = 0;
  std::shared_ptr<UpstreamSession> session_;
};

/// @brief The connections of this daemon to one upstream. Thread-safe.
class ConnectionPool {
 public:
  ConnectionPool(std::string address, uint16_t port);

  /// @brief Replaces the limits; connections above a lower share are closed
  /// when they become idle.
  void SetPolicy(const ConnectionPolicy& policy);

  /// @brief Lends an idle connection or opens one within the share.
  ///
  /// Waits until `deadline` for a connection when the share is used up.
  /// @param is_protected The exchange is non-idempotent; the connection must
  /// be proven and is probed with `/ping` when it is not.
  [[nodiscard]] tl::expected<LeasedConnection, AcquireError> Acquire(
      bool is_protected,
      Instant deadline);

  /// @brief Takes back a connection at a message boundary.
  void Release(const LeasedConnection& connection);

  /// @brief Closes a connection with an unfinished exchange.
  /// @return Whether it had been condemned as silent.
  bool Discard(const LeasedConnection& connection);

  /// @brief Notes that the exchange on a connection was cancelled upstream.
  void NoteCancelConfirmed(uint64_t id);

  /// @brief Shuts down connections that have gone silent; their exchanges end
  /// with an error. Returns their number.
  int CondemnSilent(Instant now);

  /// @brief How many connections should be opened ahead of use.
  [[nodiscard]] int CountToOpen() const;

  /// @brief Opens one connection, proves it with `/ping` and keeps it idle.
  /// @return What the upstream says about itself, or the error.
  [[nodiscard]] Result<UpstreamSignals> OpenAhead();

  /// @brief Open connections, including those being established.
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
  [[nodiscard]] Result<UpstreamSignals> ProveOrDiscard(
      const LeasedConnection& connection);
  [[nodiscard]] bool LendIdle(bool is_protected, LeasedConnection& lent);
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
