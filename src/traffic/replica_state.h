#ifndef CLEMENTINERILL_TRAFFIC_REPLICA_STATE_H_
#define CLEMENTINERILL_TRAFFIC_REPLICA_STATE_H_

#include <optional>
#include <vector>

#include "base/time.h"
#include "traffic/attempt_outcome.h"
#include "traffic/replica_entry.h"
#include "traffic/reported_load.h"

namespace clementinerill::traffic {

/// @brief One replica as the traffic of this daemon sees it.
///
/// Health is judged from answers alone, because health endpoints lag.
struct ReplicaState {
  ReplicaEntry entry_;
  std::vector<Instant> outstanding_;  ///< Send times, oldest first.
  std::optional<Instant> last_answer_;
  /// Latency of recent answers relative to the usual one of their route.
  double slowness_ = 1.0;
  Instant slowness_at_{};
  /// Share of recent attempts that failed.
  double failure_share_ = 0;
  Instant failure_share_at_{};
  int failures_in_row_ = 0;
  Instant avoid_until_{};
  double reported_busy_ = 0;  ///< Running and waiting requests, all callers.
  Instant reported_at_{};
  std::vector<Instant> cold_sends_;  ///< Sends while cold, within a second.
  /// Whether this daemon prefers the replica; see `AssignPreferredReplicas`.
  bool is_preferred_ = false;
  double preferring_daemons_ = 0;  ///< Daemons that prefer the replica.
  int idle_connections_ = 0;       ///< Kept by the connection pool.
  int open_connections_ = 0;       ///< In use, idle or being opened.
  /// Another process answered at the address; nothing more is sent there.
  bool misdirected_ = false;
};

/// @brief Notes a request on its way to the replica.
void RecordSend(ReplicaState& replica, Instant now);

/// @brief Takes back a send that did not happen.
void CancelSend(ReplicaState& replica, Instant sent);

/// @brief Notes the end of an attempt that was sent at `sent`.
///
/// `usual` is the median latency of the route; zero when unknown.
void RecordOutcome(ReplicaState& replica,
                   AttemptOutcome outcome,
                   Instant sent,
                   Duration usual,
                   Instant now);

/// @brief Takes the load that the replica reported with an answer.
void RecordLoad(ReplicaState& replica, const ReportedLoad& load, Instant now);

/// @brief How long the replica has answered nothing while requests wait.
[[nodiscard]] Duration StalledFor(const ReplicaState& replica, Instant now);

/// @brief Present slowness; observations lose their weight with time, so that
/// a replica that recovered is tried again.
[[nodiscard]] double Slowness(const ReplicaState& replica, Instant now);

/// @brief Present share of failed attempts, with the same decay.
[[nodiscard]] double FailureShare(const ReplicaState& replica, Instant now);

/// @brief Requests at the replica now, as far as this daemon knows.
[[nodiscard]] double EstimatedBusy(const ReplicaState& replica, Instant now);

/// @brief Whether the replica is kept out after failures. Once the time is
/// over, a single request tries it.
[[nodiscard]] bool IsAvoided(const ReplicaState& replica, Instant now);

/// @brief Whether the last answers were slow or failures. Such a replica gets
/// one request at a time until an answer shows that it has recovered.
[[nodiscard]] bool IsOnProbation(const ReplicaState& replica);

[[nodiscard]] bool IsCold(const ReplicaState& replica, Instant now);

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_REPLICA_STATE_H_
