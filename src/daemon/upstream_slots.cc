#include "daemon/upstream_slots.h"

#include "base/invariant.h"

namespace clementinerill {
namespace {

RequestOutcome OutcomeOf(AttemptResult result) noexcept {
  switch (result) {
    case AttemptResult::kAnswered:
      return RequestOutcome::kAnswered;
    case AttemptResult::kShed:
      return RequestOutcome::kShed;
    default:
      return RequestOutcome::kOther;
  }
}

bool IsDomainFull(const DomainRamp& domain) noexcept {
  return domain.active_ && domain.in_flight_ >= domain.ramp_.limit_;
}

void FreeDomainSlot(const UpstreamState& state,
                    const HeldSlot& slot,
                    const ResponseSignals& signals,
                    const std::vector<const LatencyTracker*>& siblings,
                    Instant now) {
  const bool useful = signals.outcome_ == RequestOutcome::kAnswered &&
                      IsFastResponse(state.warmup_, state.warmup_limits_,
                                     siblings, signals.latency_, now);
  const bool shed = signals.outcome_ == RequestOutcome::kShed;
  FinishDomainRequest(*slot.ramp_, slot.domain_, useful, shed);
}

}  // namespace

int SlotLimitOf(const UpstreamState& state, Instant now) noexcept {
  const bool waits =
      state.warmup_.phase_ != WarmupPhase::kWarm && !state.admitted_;
  if (waits || IsDomainFull(*state.domain_)) {
    return 0;
  }
  return CurrentLimit(state.warmup_, state.warmup_limits_, state.seat_role_,
                      now);
}

void TakeSlot(UpstreamState& state, uint64_t token, Instant now) {
  const auto replica =
      StartRequest(state.warmup_, state.warmup_limits_, state.seat_role_, now);
  const auto domain = StartDomainRequest(*state.domain_);
  CR_INVARIANT(replica && domain);
  state.tokens_.emplace(token, HeldSlot{*replica, *domain, state.domain_});
}

ResponseSignals WarmupSignalsOf(const ExchangeResult& result,
                                Duration elapsed) {
  ResponseSignals signals;
  signals.outcome_ = OutcomeOf(result.result_);
  signals.latency_ = elapsed;
  if (result.signals_) {
    signals.process_id_ = result.signals_->process_id_;
    signals.cold_limit_ = result.signals_->cold_limit_;
  }
  return signals;
}

bool FreeSlot(UpstreamState& state,
              uint64_t token,
              const ResponseSignals& signals,
              const std::vector<const LatencyTracker*>& siblings,
              Instant now) {
  const auto found = state.tokens_.find(token);
  if (found == state.tokens_.end()) {
    return false;
  }
  const HeldSlot slot = found->second;
  state.tokens_.erase(found);
  FreeDomainSlot(state, slot, signals, siblings, now);
  FinishRequest(state.warmup_, state.warmup_limits_, slot.replica_, signals,
                siblings, now);
  return true;
}

}  // namespace clementinerill
