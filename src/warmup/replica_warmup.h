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

/// A warm replica is cold after two sheds within this time. One shed can come
/// from a cancelled request that still occupies a slot at the replica.
inline constexpr Duration kShedWindow = std::chrono::seconds(1);

/// A latency step is at least this ratio to the replica's own baseline.
inline constexpr double kOwnStepRatio = 3.0;

/// A latency step is at least this multiple of what the siblings' latency at
/// the same time lets expect.
inline constexpr double kSiblingStepRatio = 2.5;

/// Sibling windows that began earlier say nothing about the present query mix.
inline constexpr Duration kSiblingWindowAge = std::chrono::seconds(10);

/// A fast answer takes at most this multiple of the usual latency.
inline constexpr int kFastMultiple = 2;

/// @brief Warm-up state of one replica at one seat.
struct ReplicaWarmup {
  WarmupPhase phase_ = WarmupPhase::kWarm;
  ColdReason reason_ = ColdReason::kNone;
  Instant cold_since_{};
  Ramp ramp_;
  std::optional<int> announced_limit_;  ///< Last `X-Cold` seen.
  Instant usable_from_{};     ///< Nothing is sent earlier after a handover.
  Instant exclusive_from_{};  ///< Earlier, other seats' requests may run.
  int in_flight_ = 0;         ///< Requests of this seat.
  std::string process_id_;
  std::string previous_process_id_;
  std::optional<Instant> last_shed_;
  LatencyTracker latency_;
  uint64_t generation_ = 0;  ///< Of the cold advisory; rises on each change.
};

/// @brief State of a replica that no daemon has sent to yet.
[[nodiscard]] ReplicaWarmup MakeColdReplica(ColdReason reason, Instant now);

/// @brief Requests that this seat may have in flight at the replica now.
[[nodiscard]] int CurrentLimit(const ReplicaWarmup& replica,
                               const WarmupLimits& limits,
                               SeatRole role,
                               Instant now) noexcept;

/// @brief Counts a request as in flight if the limit allows one more.
/// @return the ticket to pass to `FinishRequest`, or nothing.
[[nodiscard]] std::optional<DispatchTicket> StartRequest(
    ReplicaWarmup& replica,
    const WarmupLimits& limits,
    SeatRole role,
    Instant now) noexcept;

/// @brief Ends a request and evaluates the signals of its answer.
///
/// An answer of the process before the present one is ignored. `siblings`
/// lists the latency of the warm replicas of the same service; without any,
/// no latency step is found. A latency step is confirmed by windows of this
/// replica and of its siblings that began after the step, so that a change of
/// the query mix, which reaches all of them, is not taken for one. A request
/// whose answer will never come must be finished with `RequestOutcome::kOther`
/// once its deadline and the cancellation grace period have passed.
/// @return whether `generation_` rose, so that an advisory must be sent.
bool FinishRequest(ReplicaWarmup& replica,
                   const WarmupLimits& limits,
                   const DispatchTicket& ticket,
                   const ResponseSignals& signals,
                   const std::vector<const LatencyTracker*>& siblings,
                   Instant now);

/// @brief Evaluates what an exchange outside of `StartRequest` and
/// `FinishRequest`, such as a probe, says about process and cold limit.
/// @return whether `generation_` rose, so that an advisory must be sent.
bool ObserveProbe(ReplicaWarmup& replica,
                  const WarmupLimits& limits,
                  const std::string& process_id,
                  std::optional<int> cold_limit,
                  Instant now);

/// @brief Whether an answer with this latency counts as fast.
[[nodiscard]] bool IsFastResponse(
    const ReplicaWarmup& replica,
    const WarmupLimits& limits,
    const std::vector<const LatencyTracker*>& siblings,
    Duration latency,
    Instant now);

/// @brief Marks the replica cold with limit 1, or restarts its ramp.
///
/// A changed process also drops the latency known of the previous one.
/// @return whether the replica was not cold, so that an advisory must be sent.
bool MarkCold(ReplicaWarmup& replica,
              const WarmupLimits& limits,
              ColdReason reason,
              Instant now) noexcept;

/// @brief Applies a cold advisory of another daemon.
///
/// The higher generation wins; within a generation, active wins.
/// @return whether the state changed.
bool ApplyColdAdvisory(ReplicaWarmup& replica,
                       const WarmupLimits& limits,
                       uint64_t generation,
                       bool active,
                       Instant now) noexcept;

/// @brief Called when this daemon gains the warm-up seat of the replica.
///
/// A cold replica restarts at limit 1, and nothing is sent until requests of
/// the previous holder can no longer be running.
void TakeOverWarmupSeat(ReplicaWarmup& replica,
                        const WarmupLimits& limits,
                        Instant now) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_WARMUP_REPLICA_WARMUP_H_
