#ifndef CLEMENTINERILL_WARMUP_REPLICA_WARMUP_H_
#define CLEMENTINERILL_WARMUP_REPLICA_WARMUP_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "warmup/cold_reason.h"
#include "warmup/dispatch_ticket.h"
#include "warmup/latency_tracker.h"
#include "warmup/ramp.h"
#include "warmup/response_signals.h"
#include "warmup/seat_role.h"
#include "warmup/warmup_limits.h"
#include "warmup/warmup_phase.h"

namespace clementinerill {

/// A warm replica is marked cold after two sheds within this time. A single
/// shed can be caused by a cancelled request that still occupies a slot.
inline constexpr Duration kShedWindow = std::chrono::seconds(1);

/// Minimum ratio of a latency step to the replica's own baseline.
inline constexpr double kBaselineStepRatio = 3.0;

/// Minimum ratio of a latency step to the latency expected from the siblings'
/// latency at the same time.
inline constexpr double kSiblingStepRatio = 2.5;

/// Maximum age of a sibling window. Older windows do not reflect the current
/// query mix.
inline constexpr Duration kMaxSiblingWindowAge = std::chrono::seconds(10);

/// The latency of a fast response is at most this multiple of the larger of the
/// replica's baseline and the siblings' latency.
inline constexpr int kFastLatencyFactor = 2;

/// @brief Warm-up state of one replica as seen by one seat.
struct ReplicaWarmup {
  WarmupPhase phase_ = WarmupPhase::kWarm;
  ColdReason reason_ = ColdReason::kNone;
  Instant cold_since_{};
  Ramp ramp_;
  std::optional<int> announced_limit_;  ///< Last `X-Cold` received.
  /// No request is sent before this time after a seat handover.
  Instant dispatch_not_before_{};
  /// Before this time, requests of other seats may still be in flight.
  Instant exclusive_from_{};
  int in_flight_ = 0;  ///< Requests of this seat.
  std::string process_id_;
  std::string previous_process_id_;
  std::optional<Instant> last_shed_;
  LatencyTracker latency_;
  uint64_t generation_ = 0;  ///< Of the cold advisory; rises with each change.
};

/// @brief Returns the state of a replica that starts cold at limit 1.
[[nodiscard]] ReplicaWarmup MakeColdReplica(ColdReason reason, Instant now);

/// @brief Number of requests that this seat may currently have in flight at the
/// replica.
[[nodiscard]] int CurrentLimit(const ReplicaWarmup& replica,
                               const WarmupLimits& limits,
                               SeatRole role,
                               Instant now) noexcept;

/// @brief Counts a request as in flight if the limit allows it.
/// @return the ticket to pass to `FinishRequest`, or nothing at the limit.
[[nodiscard]] std::optional<DispatchTicket> StartRequest(
    ReplicaWarmup& replica,
    const WarmupLimits& limits,
    SeatRole role,
    Instant now) noexcept;

/// @brief Ends a request and evaluates the signals of its response.
///
/// Responses of the previous process are ignored. `siblings` lists the latency
/// trackers of the warm replicas of the same service; without siblings, no
/// latency step is detected. A latency step is confirmed with windows of this
/// replica and of its siblings that started after the step, because a change of
/// the query mix also affects the siblings and must not count as a step. A
/// request that will never receive a response must be finished with
/// `RequestOutcome::kOther` once its deadline and the cancellation grace period
/// have passed.
/// @return whether `generation_` changed, so that an advisory must be sent.
bool FinishRequest(ReplicaWarmup& replica,
                   const WarmupLimits& limits,
                   const DispatchTicket& ticket,
                   const ResponseSignals& signals,
                   const std::vector<const LatencyTracker*>& siblings,
                   Instant now);

/// @brief Evaluates the process and the cold limit reported by an exchange that
/// `StartRequest` and `FinishRequest` do not count, such as a probe.
/// @return whether `generation_` changed, so that an advisory must be sent.
bool ObserveProbe(ReplicaWarmup& replica,
                  const WarmupLimits& limits,
                  const std::string& process_id,
                  std::optional<int> cold_limit,
                  Instant now);

/// @brief Whether a response with this latency counts as fast.
[[nodiscard]] bool IsFastResponse(
    const ReplicaWarmup& replica,
    const WarmupLimits& limits,
    const std::vector<const LatencyTracker*>& siblings,
    Duration latency,
    Instant now);

/// @brief Marks the replica cold with limit 1, or restarts its ramp.
///
/// A process change also discards the latency history of the previous process.
/// @return whether the replica was warm, so that an advisory must be sent.
bool MarkCold(ReplicaWarmup& replica,
              const WarmupLimits& limits,
              ColdReason reason,
              Instant now) noexcept;

/// @brief Applies a cold advisory from another daemon.
///
/// The higher generation takes precedence; within a generation, an active
/// advisory does.
/// @return whether the state changed.
bool ApplyColdAdvisory(ReplicaWarmup& replica,
                       const WarmupLimits& limits,
                       uint64_t generation,
                       bool active,
                       Instant now) noexcept;

/// @brief Handles the transfer of the replica's warm-up seat to this daemon.
///
/// A cold replica restarts at limit 1, and no request is sent until requests of
/// the previous holder can no longer be in flight.
void TakeOverWarmupSeat(ReplicaWarmup& replica,
                        const WarmupLimits& limits,
                        Instant now) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_WARMUP_REPLICA_WARMUP_H_
