#ifndef CLEMENTINERILL_CONNECTIONS_REPLICA_CONNECTIONS_H_
#define CLEMENTINERILL_CONNECTIONS_REPLICA_CONNECTIONS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.h"
#include "connections/connection_policy.h"
#include "connections/connection_record.h"

namespace clementinerill {

/// @brief All connections of this daemon to one upstream.
struct ReplicaConnections {
  std::vector<ConnectionRecord> records_;
  int opening_ = 0;  ///< Connections being established.
  /// Latest start among the exchanges that were answered.
  Instant latest_answered_start_;
};

/// @brief The idle connection to use next: the one that answered last.
///
/// @param requires_recent_response Only a connection that answered within the
/// proof lifetime qualifies.
[[nodiscard]] std::optional<uint64_t> SelectIdleConnection(
    const ReplicaConnections& connections,
    const ConnectionPolicy& policy,
    bool requires_recent_response,
    Instant now) noexcept;

/// @brief Whether another connection may be opened within the share.
[[nodiscard]] bool CanOpenConnection(const ReplicaConnections& connections,
                                     const ConnectionPolicy& policy) noexcept;

/// @brief Connections to open now so that enough idle ones are ready.
[[nodiscard]] int CountToOpen(const ReplicaConnections& connections,
                              const ConnectionPolicy& policy) noexcept;

/// @brief Connections to condemn as silent.
///
/// An exchange that stalls while a later one on another connection was
/// answered shows that the connection is at fault and not the replica. An
/// exchange whose confirmed cancellation brought no answer shows the same.
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

/// @brief Marks a connection as idle after a whole answer.
void RecordExchangeCompleted(ReplicaConnections& connections,
                             uint64_t id,
                             Instant now) noexcept;

/// @brief Forgets a closed connection.
void RemoveRecord(ReplicaConnections& connections, uint64_t id) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONNECTIONS_REPLICA_CONNECTIONS_H_
