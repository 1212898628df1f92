#include "limits/query_gate.h"

#include <algorithm>

#include "base/invariant.h"

namespace clementinerill {
namespace {

bool IsMissRatioElevated(const QueryGate& gate) noexcept {
  return MissRatio(gate.interval_) >
         gate.baseline_miss_ratio_ + kMissRatioTolerance;
}

bool HasCollapsed(const QueryGate& gate) noexcept {
  const double baseline_met_ratio = 1 - gate.baseline_miss_ratio_;
  return MissRatio(gate.interval_) >
         gate.baseline_miss_ratio_ + baseline_met_ratio * kCollapseMissRatio;
}

void UpdateBaselineMissRatio(QueryGate& gate) noexcept {
  const double difference =
      MissRatio(gate.interval_) - gate.baseline_miss_ratio_;
  const int intervals =
      difference < 0 ? kMissRatioFallIntervals : kMissRatioRiseIntervals;
  gate.baseline_miss_ratio_ =
      std::min(kMaxBaselineMissRatio,
               gate.baseline_miss_ratio_ + difference / intervals);
}

bool ShouldRaise(const QueryGate& gate, double goodput) noexcept {
  const bool missed = IsMissRatioElevated(gate);
  if (!gate.previous_goodput_) {
    return !missed;
  }
  const double previous = *gate.previous_goodput_;
  if (goodput > previous * (1 + kGoodputNoiseTolerance)) {
    return gate.raised_;
  }
  if (goodput < previous * (1 - kGoodputNoiseTolerance)) {
    return !gate.raised_;
  }
  return !missed;
}

void Raise(QueryGate& gate) noexcept {
  double raised = std::max(gate.limit_ * kGateIncreaseFactor, gate.limit_ + 1);
  if (gate.capped_raises_left_ > 0) {
    --gate.capped_raises_left_;
    raised = std::min(raised, gate.collapsed_limit_ * kCollapseHeadroom);
  }
  gate.limit_ = std::max(gate.limit_, raised);
}

// The limit before the raise did not collapse, so a small decrease suffices.
void UndoRaise(QueryGate& gate, double used) noexcept {
  gate.collapsed_limit_ = used;
  gate.capped_raises_left_ = kCappedRaises;
  gate.limit_ = used * kGateDecreaseFactor;
}

// The limit may be far above the number of queries that ran when deadlines were
// missed. A decrease relative to it would have no effect.
void Lower(QueryGate& gate) noexcept {
  const double used =
      std::min<double>(gate.limit_, gate.interval_.peak_in_use_);
  const bool after_raise = gate.raised_ && gate.previous_goodput_;
  if (HasCollapsed(gate) && after_raise) {
    UndoRaise(gate, used);
    return;
  }
  gate.limit_ =
      used * (HasCollapsed(gate) ? kGateCollapseFactor : kGateDecreaseFactor);
}

void Adapt(QueryGate& gate, Instant now) noexcept {
  const double goodput = GoodputPerSecond(gate.interval_, now);
  const bool raise = ShouldRaise(gate, goodput);
  if (raise) {
    Raise(gate);
  } else {
    Lower(gate);
  }
  gate.limit_ =
      std::clamp<double>(gate.limit_, gate.min_limit_, gate.max_limit_);
  gate.raised_ = raise;
  gate.previous_goodput_ = goodput;
  if (HasCollapsed(gate)) {
    // Compared with a collapse, any goodput would look like a gain and lower
    // the limit further.
    gate.previous_goodput_.reset();
  }
}

void CloseInterval(QueryGate& gate, Instant now) noexcept {
  if (gate.interval_.saturated_ || IsMissRatioElevated(gate)) {
    Adapt(gate, now);
  } else {
    // Below saturation, goodput depends on the load and not on the limit.
    gate.previous_goodput_.reset();
  }
  UpdateBaselineMissRatio(gate);
  gate.interval_ = GoodputInterval{};
  gate.interval_.start_ = now;
  gate.interval_.peak_in_use_ = gate.in_use_;
}

bool IsIntervalComplete(const QueryGate& gate) noexcept {
  return CompletionCount(gate.interval_) >=
         std::max(kMinIntervalCompletions, GateLimit(gate));
}

}  // namespace

QueryGate MakeQueryGate(int lowest, int highest) noexcept {
  CR_INVARIANT(lowest >= 1 && lowest <= highest);
  QueryGate gate{};
  gate.limit_ = highest;
  gate.min_limit_ = lowest;
  gate.max_limit_ = highest;
  return gate;
}

int GateLimit(const QueryGate& gate) noexcept {
  return static_cast<int>(gate.limit_);
}

tl::expected<void, RefusalReason> AdmitQuery(QueryGate& gate) noexcept {
  if (gate.in_use_ >= GateLimit(gate)) {
    gate.interval_.saturated_ = true;
    return tl::make_unexpected(RefusalReason::kGateFull);
  }
  ++gate.in_use_;
  gate.interval_.peak_in_use_ =
      std::max(gate.interval_.peak_in_use_, gate.in_use_);
  return {};
}

void FinishQuery(QueryGate& gate,
                 QueryCompletion completion,
                 Instant now) noexcept {
  CR_INVARIANT(gate.in_use_ > 0);
  --gate.in_use_;
  if (completion == QueryCompletion::kNotRun) {
    return;
  }
  GoodputInterval& interval = gate.interval_;
  interval.start_ = std::min(interval.start_, now);
  ++(completion == QueryCompletion::kDeadlineMet ? interval.deadlines_met_
                                                 : interval.deadlines_missed_);
  if (IsIntervalComplete(gate)) {
    CloseInterval(gate, now);
  }
}

}  // namespace clementinerill
