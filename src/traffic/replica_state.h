#ifndef CLEMENTINERILL_TRAFFIC_REPLICA_STATE_H_
#define CLEMENTINERILL_TRAFFIC_REPLICA_STATE_H_

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/buffer_budget.h"
#include "base/time.h"
#include "traffic/attempt_outcome.h"
#include "traffic/rate_allowance.h"
#include "traffic/replica_entry.h"

namespace clementinerill::traffic {

/// @brief This daemon's share in the limit of a cold replica, and what it was
/// computed from.
struct ColdShareCache {
  std::shared_ptr<const std::vector<std::string>> senders_;
  int limit_ = 0;  ///< Requests per second of all senders.
  int share_ = 0;  ///< Requests per second of this daemon.
};

/// @brief State of one replica in the traffic thread of this daemon.
///
/// Health is determined from responses alone, because health endpoints lag.
struct ReplicaState {
  ReplicaEntry entry_;
  std::vector<Instant> outstanding_;  ///< Send times, oldest first.
  std::optional<Instant> last_response_;
  /// Moving average of latency relative to the median of the route.
  double slowness_ = 1.0;
  Instant slowness_at_{};
  /// Moving average of the share of failed attempts.
  double failure_share_ = 0;
  Instant failure_share_at_{};
  int failures_in_row_ = 0;
  Instant ejected_until_{};
  double reported_busy_ = 0;  ///< Running and queued requests of all callers.
  Instant reported_at_{};
  /// Requests per second that the replica accepts from all daemons, as named in
  /// its last response; unset if it named none.
  std::optional<double> rate_limit_;
  Instant rate_limit_named_at_{};
  RateAllowance rate_allowance_;  ///< While there is a rate limit.
  /// Until when the replica takes no requests from this daemon, as it said with
  /// a refusal.
  Instant paused_until_{};
  /// When a response reported that the replica is leaving; never reset.
  std::optional<Instant> departure_reported_at_;
  /// Sends of the last second, if the service limits those to cold replicas.
  std::deque<Instant> recent_sends_;
  ColdShareCache cold_share_;
  /// Whether this daemon prefers the replica; see `AssignPreferredReplicas`.
  bool is_preferred_ = false;
  double preferring_daemons_ = 0;  ///< Daemons that prefer the replica.
  int idle_connections_ = 0;       ///< Idle in the connection pool.
  int open_connections_ = 0;       ///< In use, idle or being opened.
  /// Of the responses that are received or not passed on yet.
  std::shared_ptr<BufferAccount> response_buffers_;
  /// Another process answered at the address; no more requests are sent there.
  bool misdirected_ = false;
};

/// @brief Records a request that is sent to the replica.
void RecordSend(ReplicaState& replica, Instant now);

/// @brief Removes a send that was recorded in the same step and did not take
/// place, and returns its permit and its part of the limit while cold.
void CancelSend(ReplicaState& replica, Instant sent);

/// @brief Removes a send from those that count for the limit while cold.
void RemoveColdSend(ReplicaState& replica, Instant sent);

/// @brief Records the outcome of an attempt that was sent at `sent`.
///
/// `median_latency` is that of the route; zero if unknown.
void RecordOutcome(ReplicaState& replica,
                   AttemptOutcome outcome,
                   Instant sent,
                   Duration median_latency,
                   Instant now);

/// @brief Returns how long the replica has sent no response while requests are
/// outstanding.
[[nodiscard]] Duration StallDuration(const ReplicaState& replica, Instant now);

/// @brief Returns the current slowness. It decays to 1 without new responses,
/// so that a replica that has recovered is tried again.
[[nodiscard]] double Slowness(const ReplicaState& replica, Instant now);

/// @brief Returns the current share of failed attempts, which decays to 0
/// without new attempts.
[[nodiscard]] double FailureShare(const ReplicaState& replica, Instant now);

/// @brief Returns the estimated number of requests at the replica: those of
/// this daemon or the reported load, whichever is higher.
[[nodiscard]] double EstimatedBusy(const ReplicaState& replica, Instant now);

/// @brief Whether the replica is ejected after consecutive failures. When the
/// ejection time is over, one request at a time probes it.
[[nodiscard]] bool IsEjected(const ReplicaState& replica, Instant now);

/// @brief Whether recent responses were slow or failures. Such a replica gets
/// one request at a time until responses show that it has recovered.
[[nodiscard]] bool IsOnProbation(const ReplicaState& replica);

/// @brief Whether the rate limit of the replica, if it has named one, allows
/// this daemon to send a request.
[[nodiscard]] bool HasPermit(const ReplicaState& replica, Instant now);

/// @brief Returns when this daemon learned that the replica is leaving, from
/// service discovery or from a response, whichever was first.
[[nodiscard]] std::optional<Instant> LeavingSince(
    const ReplicaState& replica) noexcept;

[[nodiscard]] bool IsCold(const ReplicaState& replica, Instant now);

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_REPLICA_STATE_H_
