#include "warmup/replica_warmup.h"

#include <algorithm>

#include "base/invariant.h"

namespace clementinerill {

namespace {

// While requests of other seats may still be in flight, this seat keeps to its
// share so that the total stays within the slots.
int MaxRampLimit(const ReplicaWarmup& replica,
                 const WarmupLimits& limits,
                 Instant now) noexcept {
  const int seat_limit =
      now < replica.exclusive_from_ ? limits.seat_slots_ : limits.slots_;
  const int announced = replica.announced_limit_.value_or(limits.slots_);
  return std::max(1, std::min(seat_limit, announced));
}

bool IsFromPreviousProcess(const ReplicaWarmup& replica,
                           const ResponseSignals& signals) {
  return !signals.process_id_.empty() &&
         signals.process_id_ == replica.previous_process_id_;
}

bool UpdateProcessId(ReplicaWarmup& replica, const std::string& process_id) {
  if (process_id.empty() || process_id == replica.process_id_) {
    return false;
  }
  const bool changed = !replica.process_id_.empty();
  replica.previous_process_id_ = replica.process_id_;
  replica.process_id_ = process_id;
  return changed;
}

// Evaluates a complete window. The first window above the threshold only
// records the time; the comparison with the siblings uses windows that started
// after it. The baseline is not updated until that comparison is possible.
bool IsLatencyStep(LatencyTracker& tracker,
                   const std::vector<const LatencyTracker*>& siblings,
                   Instant now) {
  if (StepRatio(tracker) < kBaselineStepRatio) {
    tracker.step_detected_at_.reset();
    UpdateBaseline(tracker);
    const auto others = SiblingLatency(siblings, now - kMaxSiblingWindowAge);
    UpdateSiblingRatio(tracker, others.value_or(Duration::zero()));
    return false;
  }
  if (!tracker.step_detected_at_) {
    tracker.step_detected_at_ = now;
    return false;
  }
  const auto others = SiblingLatency(siblings, *tracker.step_detected_at_);
  if (!others) {
    return false;
  }
  const double expected =
      tracker.sibling_ratio_ * static_cast<double>(others->count());
  if (static_cast<double>(tracker.last_median_->count()) >=
      kSiblingStepRatio * expected) {
    return true;
  }
  UpdateBaseline(tracker);
  return false;
}

// Returns why this response marks the replica cold, or kNone.
ColdReason DetectColdReason(ReplicaWarmup& replica,
                            const ResponseSignals& signals,
                            const std::vector<const LatencyTracker*>& siblings,
                            Instant now) {
  if (UpdateProcessId(replica, signals.process_id_)) {
    return ColdReason::kProcessChanged;
  }
  if (signals.outcome_ == RequestOutcome::kShed) {
    const bool repeated =
        replica.last_shed_ && now - *replica.last_shed_ <= kShedWindow;
    replica.last_shed_ = now;
    const bool cold = replica.phase_ != WarmupPhase::kWarm;
    return cold || repeated ? ColdReason::kSheds : ColdReason::kNone;
  }
  if (signals.cold_limit_ && replica.phase_ != WarmupPhase::kCold) {
    return ColdReason::kAnnounced;
  }
  if (signals.outcome_ != RequestOutcome::kAnswered ||
      replica.phase_ != WarmupPhase::kWarm) {
    return ColdReason::kNone;
  }
  if (!AddLatency(replica.latency_, signals.latency_, now)) {
    return ColdReason::kNone;
  }
  return IsLatencyStep(replica.latency_, siblings, now)
             ? ColdReason::kLatencyStep
             : ColdReason::kNone;
}

// A successful response without X-Cold clears the announced limit; other
// outcomes without X-Cold leave it unchanged.
void UpdateAnnouncedLimit(ReplicaWarmup& replica,
                          const ResponseSignals& signals) noexcept {
  if (signals.cold_limit_) {
    replica.announced_limit_ = std::max(1, *signals.cold_limit_);
  } else if (signals.outcome_ == RequestOutcome::kAnswered) {
    replica.announced_limit_.reset();
  }
}

void EvaluateSignals(ReplicaWarmup& replica,
                     const WarmupLimits& limits,
                     const ResponseSignals& signals,
                     const std::vector<const LatencyTracker*>& siblings,
                     Instant now) {
  const ColdReason reason = DetectColdReason(replica, signals, siblings, now);
  UpdateAnnouncedLimit(replica, signals);
  if (reason != ColdReason::kNone) {
    MarkCold(replica, limits, reason, now);
  }
  CapRampLimit(replica.ramp_, MaxRampLimit(replica, limits, now));
}

void AdvanceRamp(ReplicaWarmup& replica,
                 const WarmupLimits& limits,
                 const DispatchTicket& ticket,
                 const ResponseSignals& signals,
                 const std::vector<const LatencyTracker*>& siblings,
                 Instant now) {
  if (signals.outcome_ != RequestOutcome::kAnswered ||
      replica.phase_ != WarmupPhase::kCold ||
      ticket.level_ != replica.ramp_.level_) {
    return;
  }
  const bool fast =
      IsFastResponse(replica, limits, siblings, signals.latency_, now);
  const bool done =
      CountResponse(replica.ramp_, fast, MaxRampLimit(replica, limits, now));
  if (done && !replica.announced_limit_ && now >= replica.exclusive_from_) {
    replica.phase_ = WarmupPhase::kSettling;
  }
}

void MarkWarm(ReplicaWarmup& replica) noexcept {
  replica.phase_ = WarmupPhase::kWarm;
  replica.reason_ = ColdReason::kNone;
  replica.announced_limit_.reset();
  replica.last_shed_.reset();
}

// Marks the replica warm once this seat is back within its share. Other seats
// send to a warm replica, so the share must be restored first.
bool FinishSettling(ReplicaWarmup& replica,
                    const WarmupLimits& limits) noexcept {
  if (replica.phase_ != WarmupPhase::kSettling ||
      replica.in_flight_ > limits.seat_slots_) {
    return false;
  }
  MarkWarm(replica);
  ++replica.generation_;
  return true;
}

}  // namespace

ReplicaWarmup MakeColdReplica(ColdReason reason, Instant now) {
  ReplicaWarmup replica;
  replica.phase_ = WarmupPhase::kCold;
  replica.reason_ = reason;
  replica.cold_since_ = now;
  return replica;
}

bool IsFastResponse(const ReplicaWarmup& replica,
                    const WarmupLimits& limits,
                    const std::vector<const LatencyTracker*>& siblings,
                    Duration latency,
                    Instant now) {
  const auto recent = SiblingLatency(siblings, now - kMaxSiblingWindowAge);
  const Duration own = replica.latency_.baseline_.value_or(Duration::zero());
  const Duration others = recent.value_or(Duration::zero());
  const Duration threshold = kFastLatencyFactor * std::max(own, others);
  return latency <= threshold ||
         (!recent && latency <= limits.default_fast_latency_);
}

int CurrentLimit(const ReplicaWarmup& replica,
                 const WarmupLimits& limits,
                 SeatRole role,
                 Instant now) noexcept {
  if (replica.phase_ == WarmupPhase::kWarm) {
    return limits.seat_slots_;
  }
  if (role != SeatRole::kWarmup || now < replica.dispatch_not_before_) {
    return 0;
  }
  if (replica.phase_ == WarmupPhase::kSettling) {
    return limits.seat_slots_;
  }
  return std::min(replica.ramp_.limit_, MaxRampLimit(replica, limits, now));
}

std::optional<DispatchTicket> StartRequest(ReplicaWarmup& replica,
                                           const WarmupLimits& limits,
                                           SeatRole role,
                                           Instant now) noexcept {
  if (replica.in_flight_ >= CurrentLimit(replica, limits, role, now)) {
    return std::nullopt;
  }
  ++replica.in_flight_;
  return DispatchTicket{replica.ramp_.level_};
}

bool FinishRequest(ReplicaWarmup& replica,
                   const WarmupLimits& limits,
                   const DispatchTicket& ticket,
                   const ResponseSignals& signals,
                   const std::vector<const LatencyTracker*>& siblings,
                   Instant now) {
  CR_INVARIANT(replica.in_flight_ > 0);
  --replica.in_flight_;
  const uint64_t generation = replica.generation_;
  if (!IsFromPreviousProcess(replica, signals)) {
    EvaluateSignals(replica, limits, signals, siblings, now);
    AdvanceRamp(replica, limits, ticket, signals, siblings, now);
  }
  FinishSettling(replica, limits);
  return replica.generation_ != generation;
}

bool ObserveProbe(ReplicaWarmup& replica,
                  const WarmupLimits& limits,
                  const std::string& process_id,
                  std::optional<int> cold_limit,
                  Instant now) {
  ResponseSignals signals;
  signals.process_id_ = process_id;
  signals.cold_limit_ = cold_limit;
  const uint64_t generation = replica.generation_;
  if (!IsFromPreviousProcess(replica, signals)) {
    EvaluateSignals(replica, limits, signals, {}, now);
  }
  return replica.generation_ != generation;
}

bool MarkCold(ReplicaWarmup& replica,
              const WarmupLimits& limits,
              ColdReason reason,
              Instant now) noexcept {
  const bool was_warm = replica.phase_ == WarmupPhase::kWarm;
  if (was_warm || reason == ColdReason::kProcessChanged) {
    replica.cold_since_ = now;
  }
  if (was_warm) {
    replica.exclusive_from_ = now + limits.drain_wait_;
    ++replica.generation_;
  }
  replica.phase_ = WarmupPhase::kCold;
  replica.reason_ = reason;
  replica.latency_.sample_count_ = 0;
  replica.latency_.step_detected_at_.reset();
  if (reason == ColdReason::kProcessChanged) {
    replica.latency_ = LatencyTracker{};
  }
  ResetRamp(replica.ramp_, 1);
  return was_warm;
}

bool ApplyColdAdvisory(ReplicaWarmup& replica,
                       const WarmupLimits& limits,
                       uint64_t generation,
                       bool active,
                       Instant now) noexcept {
  const bool warm = replica.phase_ == WarmupPhase::kWarm;
  const bool takes_precedence =
      generation > replica.generation_ ||
      (generation == replica.generation_ && active && warm);
  if (!takes_precedence) {
    return false;
  }
  if (active) {
    MarkCold(replica, limits, ColdReason::kAdvisory, now);
    // An older clear advisory that this one overtook may have let other seats
    // send requests.
    replica.exclusive_from_ = now + limits.drain_wait_;
  } else if (!warm) {
    MarkWarm(replica);
  }
  replica.generation_ = generation;
  return true;
}

void TakeOverWarmupSeat(ReplicaWarmup& replica,
                        const WarmupLimits& limits,
                        Instant now) noexcept {
  replica.dispatch_not_before_ = now + limits.drain_wait_;
  replica.exclusive_from_ = replica.dispatch_not_before_;
  if (replica.phase_ == WarmupPhase::kWarm) {
    return;
  }
  replica.phase_ = WarmupPhase::kCold;
  ResetRamp(replica.ramp_, 1);
}

}  // namespace clementinerill
