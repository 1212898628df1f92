#include "limits/query_gate.h"

#include <algorithm>

#include "base/invariant.h"

namespace clementinerill {
namespace {

bool MissesUnusually(const QueryGate& gate) noexcept {
  return MissedFraction(gate.interval_) > gate.usual_misses_ + kToleratedMisses;
}

bool HasCollapsed(const QueryGate& gate) noexcept {
  const double usually_met = 1 - gate.usual_misses_;
  return MissedFraction(gate.interval_) >
         gate.usual_misses_ + usually_met * kCollapseMisses;
}

void UpdateUsualMisses(QueryGate& gate) noexcept {
  const double difference = MissedFraction(gate.interval_) - gate.usual_misses_;
  const int intervals =
      difference < 0 ? kUsualMissesFallIntervals : kUsualMissesRiseIntervals;
  gate.usual_misses_ =
      std::min(kMostUsualMisses, gate.usual_misses_ + difference / intervals);
}

bool ShouldRaise(const QueryGate& gate, double goodput) noexcept {
  const bool missed = MissesUnusually(gate);
  if (!gate.previous_goodput_) {
    return !missed;
  }
  const double previous = *gate.previous_goodput_;
  if (goodput > previous * (1 + kGoodputNoise)) {
    return gate.raised_;
  }
  if (goodput < previous * (1 - kGoodputNoise)) {
    return !gate.raised_;
  }
  return !missed;
}

void Raise(QueryGate& gate) noexcept {
  double raised = std::max(gate.limit_ * kGateGrowth, gate.limit_ + 1);
  if (gate.cautious_raises_ > 0) {
    --gate.cautious_raises_;
    raised = std::min(raised, gate.collapsed_limit_ * kCollapseHeadroom);
  }
  gate.limit_ = std::max(gate.limit_, raised);
}

// The limit before the raise was good, so that a small step undoes it.
void UndoRaise(QueryGate& gate, double used) noexcept {
  gate.collapsed_limit_ = used;
  gate.cautious_raises_ = kCautiousRaises;
  gate.limit_ = used * kGateDecrease;
}

// The limit may be far above the queries that were in use when deadlines were
// missed; lowering it from there would have no effect.
void Lower(QueryGate& gate) noexcept {
  const double used =
      std::min<double>(gate.limit_, gate.interval_.peak_in_use_);
  const bool after_raise = gate.raised_ && gate.previous_goodput_;
  if (HasCollapsed(gate) && after_raise) {
    UndoRaise(gate, used);
    return;
  }
  gate.limit_ = used * (HasCollapsed(gate) ? kGateCollapse : kGateDecrease);
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
    // Any later goodput would look like a gain and lower the limit further.
    gate.previous_goodput_.reset();
  }
}

void CloseInterval(QueryGate& gate, Instant now) noexcept {
  if (gate.interval_.saturated_ || MissesUnusually(gate)) {
    Adapt(gate, now);
  } else {
    // Goodput below saturation follows the offered load, not the limit.
    gate.previous_goodput_.reset();
  }
  UpdateUsualMisses(gate);
  gate.interval_ = GoodputInterval{};
  gate.interval_.start_ = now;
  gate.interval_.peak_in_use_ = gate.in_use_;
}

bool IntervalComplete(const QueryGate& gate) noexcept {
  return Ends(gate.interval_) >= std::max(kGateIntervalEnds, GateLimit(gate));
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

void FinishQuery(QueryGate& gate, QueryCompletion end, Instant now) noexcept {
  CR_INVARIANT(gate.in_use_ > 0);
  --gate.in_use_;
  if (end == QueryCompletion::kNotRun) {
    return;
  }
  GoodputInterval& interval = gate.interval_;
  interval.start_ = std::min(interval.start_, now);
  ++(end == QueryCompletion::kDeadlineMet ? interval.in_time_
                                          : interval.missed_);
  if (IntervalComplete(gate)) {
    CloseInterval(gate, now);
  }
}

}  // namespace clementinerill
