#include "warmup/replica_warmup.h"

#include <algorithm>

#include "base/invariant.h"

namespace clementinerill {

namespace {

// While requests of other seats may still run, they and this seat's share
// together stay within the slots.
int RampCeiling(const ReplicaWarmup& replica,
                const WarmupLimits& limits,
                Instant now) noexcept {
  const int ceiling =
      now < replica.exclusive_from_ ? limits.seat_slots_ : limits.slots_;
  const int announced = replica.announced_limit_.value_or(limits.slots_);
  return std::max(1, std::min(ceiling, announced));
}

bool IsLate(const ReplicaWarmup& replica, const ResponseSignals& signals) {
  return !signals.process_id_.empty() &&
         signals.process_id_ == replica.previous_process_id_;
}

bool AdoptProcess(ReplicaWarmup& replica, const std::string& process_id) {
  if (process_id.empty() || process_id == replica.process_id_) {
    return false;
  }
  const bool changed = !replica.process_id_.empty();
  replica.previous_process_id_ = replica.process_id_;
  replica.process_id_ = process_id;
  return changed;
}

// Judges a whole window. The first window that is slower than the baseline is
// only noted; the comparison uses windows that began after its end. Until it
// is possible, the baseline stays.
bool IsLatencyStep(LatencyTracker& track,
                   const std::vector<const LatencyTracker*>& siblings,
                   Instant now) {
  if (StepRatio(track) < kOwnStepRatio) {
    track.stepped_at_.reset();
    AdoptBaseline(track);
    const auto others = SiblingLatency(siblings, now - kSiblingWindowAge);
    AdoptRelative(track, others.value_or(Duration::zero()));
    return false;
  }
  if (!track.stepped_at_) {
    track.stepped_at_ = now;
    return false;
  }
  const auto others = SiblingLatency(siblings, *track.stepped_at_);
  if (!others) {
    return false;
  }
  const double expected =
      track.relative_ * static_cast<double>(others->count());
  if (static_cast<double>(track.recent_->count()) >=
      kSiblingStepRatio * expected) {
    return true;
  }
  AdoptBaseline(track);
  return false;
}

// The sign of coldness in this answer, or kNone.
ColdReason FindColdSign(ReplicaWarmup& replica,
                        const ResponseSignals& signals,
                        const std::vector<const LatencyTracker*>& siblings,
                        Instant now) {
  if (AdoptProcess(replica, signals.process_id_)) {
    return ColdReason::kProcessChanged;
  }
  if (signals.outcome_ == RequestOutcome::kShed) {
    const bool again =
        replica.last_shed_ && now - *replica.last_shed_ <= kShedWindow;
    replica.last_shed_ = now;
    const bool cold = replica.phase_ != WarmupPhase::kWarm;
    return cold || again ? ColdReason::kSheds : ColdReason::kNone;
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

// Every answer without X-Cold withdraws the announced limit; exchanges without
// an answer say nothing about it.
void AdoptAnnouncedLimit(ReplicaWarmup& replica,
                         const ResponseSignals& signals) noexcept {
  if (signals.cold_limit_) {
    replica.announced_limit_ = std::max(1, *signals.cold_limit_);
  } else if (signals.outcome_ == RequestOutcome::kAnswered) {
    replica.announced_limit_.reset();
  }
}

void EvaluateSigns(ReplicaWarmup& replica,
                   const WarmupLimits& limits,
                   const ResponseSignals& signals,
                   const std::vector<const LatencyTracker*>& siblings,
                   Instant now) {
  const ColdReason sign = FindColdSign(replica, signals, siblings, now);
  AdoptAnnouncedLimit(replica, signals);
  if (sign != ColdReason::kNone) {
    MarkCold(replica, limits, sign, now);
  }
  BoundRamp(replica.ramp_, RampCeiling(replica, limits, now));
}

void CountWork(ReplicaWarmup& replica,
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
      CountAnswer(replica.ramp_, fast, RampCeiling(replica, limits, now));
  if (done && !replica.announced_limit_ && now >= replica.exclusive_from_) {
    replica.phase_ = WarmupPhase::kSettling;
  }
}

void BecomeWarm(ReplicaWarmup& replica) noexcept {
  replica.phase_ = WarmupPhase::kWarm;
  replica.reason_ = ColdReason::kNone;
  replica.announced_limit_.reset();
  replica.last_shed_.reset();
}

// Other seats start to send once the replica is warm, so this seat must be
// back within its share before.
bool Settle(ReplicaWarmup& replica, const WarmupLimits& limits) noexcept {
  if (replica.phase_ != WarmupPhase::kSettling ||
      replica.in_flight_ > limits.seat_slots_) {
    return false;
  }
  BecomeWarm(replica);
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
  const auto recent = SiblingLatency(siblings, now - kSiblingWindowAge);
  const Duration own = replica.latency_.baseline_.value_or(Duration::zero());
  const Duration others = recent.value_or(Duration::zero());
  const Duration fast = kFastMultiple * std::max(own, others);
  return latency <= fast ||
         (!recent && latency <= limits.default_fast_latency_);
}

int CurrentLimit(const ReplicaWarmup& replica,
                 const WarmupLimits& limits,
                 SeatRole role,
                 Instant now) noexcept {
  if (replica.phase_ == WarmupPhase::kWarm) {
    return limits.seat_slots_;
  }
  if (role != SeatRole::kWarmup || now < replica.usable_from_) {
    return 0;
  }
  if (replica.phase_ == WarmupPhase::kSettling) {
    return limits.seat_slots_;
  }
  return std::min(replica.ramp_.limit_, RampCeiling(replica, limits, now));
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
  if (!IsLate(replica, signals)) {
    EvaluateSigns(replica, limits, signals, siblings, now);
    CountWork(replica, limits, ticket, signals, siblings, now);
  }
  Settle(replica, limits);
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
  if (!IsLate(replica, signals)) {
    EvaluateSigns(replica, limits, signals, {}, now);
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
  replica.latency_.filled_ = 0;
  replica.latency_.stepped_at_.reset();
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
  const bool wins = generation > replica.generation_ ||
                    (generation == replica.generation_ && active && warm);
  if (!wins) {
    return false;
  }
  if (active) {
    MarkCold(replica, limits, ColdReason::kAdvisory, now);
    // A clear that was overtaken by this advisory may have let others send.
    replica.exclusive_from_ = now + limits.drain_wait_;
  } else if (!warm) {
    BecomeWarm(replica);
  }
  replica.generation_ = generation;
  return true;
}

void TakeOverWarmupSeat(ReplicaWarmup& replica,
                        const WarmupLimits& limits,
                        Instant now) noexcept {
  replica.usable_from_ = now + limits.drain_wait_;
  replica.exclusive_from_ = replica.usable_from_;
  if (replica.phase_ == WarmupPhase::kWarm) {
    return;
  }
  replica.phase_ = WarmupPhase::kCold;
  ResetRamp(replica.ramp_, 1);
}

}  // namespace clementinerill
