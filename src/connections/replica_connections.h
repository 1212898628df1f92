#ifndef CLEMENTINERILL_CONNECTIONS_REPLICA_CONNECTIONS_H_
#define CLEMENTINERILL_CONNECTIONS_REPLICA_CONNECTIONS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.h"
#include "connections/connection_policy.h"
#include "connections/connection_record.h"

namespace clementinerill {

/// @brief The connections of this daemon to one upstream.
struct ReplicaConnections {
  std::vector<ConnectionRecord> records_;
  int opening_ = 0;  ///< Connections being established.
  /// Latest start time among the completed exchanges.
  Instant latest_completed_start_;
};

/// @brief Selects the idle connection with the most recent response.
///
/// @param requires_recent_response Accept only a connection whose last response
/// is no older than `ConnectionPolicy::response_validity_`.
[[nodiscard]] std::optional<uint64_t> SelectIdleConnection(
    const ReplicaConnections& connections,
    const ConnectionPolicy& policy,
    bool requires_recent_response,
    Instant now) noexcept;

/// @brief Whether another connection may be opened within `max_connections_`.
[[nodiscard]] bool CanOpenConnection(const ReplicaConnections& connections,
                                     const ConnectionPolicy& policy) noexcept;

/// @brief Number of connections to open now to reach `min_idle_`, within
/// `max_connections_`.
[[nodiscard]] int CountToOpen(const ReplicaConnections& connections,
                              const ConnectionPolicy& policy) noexcept;

/// @brief Finds connections that have gone silent and should be condemned.
///
/// If an exchange stalls while a later one on another connection completed, the
/// connection is at fault and not the replica. The same holds if no response
/// arrives within `cancel_grace_` of a confirmed cancellation.
[[nodiscard]] std::vector<uint64_t> FindSilent(
    const ReplicaConnections& connections,
    const ConnectionPolicy& policy,
    Instant now);

/// @brief The record with the given id, or null.
[[nodiscard]] ConnectionRecord* FindRecord(ReplicaConnections& connections,
                                           uint64_t id) noexcept;

/// @brief Marks a connection as busy with a new exchange.
void RecordExchangeStart(ReplicaConnections& connections,
                         uint64_t id,
                         bool is_protected,
                         Instant now) noexcept;

/// @brief Marks a connection as idle after a complete response.
void RecordExchangeCompleted(ReplicaConnections& connections,
                             uint64_t id,
                             Instant now) noexcept;

/// @brief Removes the record of a closed connection.
void RemoveRecord(ReplicaConnections& connections, uint64_t id) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONNECTIONS_REPLICA_CONNECTIONS_H_
