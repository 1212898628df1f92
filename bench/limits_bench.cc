#include <chrono>
#include <cstdio>

#include "limits/limits.h"
#include "limits/overload_model.h"

namespace clementinerill {
namespace {

// Load per daemon at the planned size and the upper bound on control overhead,
// from docs/design.md section 2.2.
constexpr double kSubrequestsPerSecond = 9800;
constexpr double kQueriesPerSecond = 140000.0 / 770;
constexpr double kOverheadBound = 0.015;

constexpr int kRounds = 1000000;
constexpr size_t kQueueCapacity = 64;

bool PrintResult(const char* name, double value, double bound, bool ok) {
  std::printf(
      "{\"name\": \"%s\", \"value\": %.6f, \"bound\": %.6f, "
      "\"unit\": \"ratio\", \"ok\": %s}\n",
      name, value, bound, ok ? "true" : "false");
  return ok;
}

// Wall time per round in seconds, taken as the core time of one thread.
template <typename Round>
double SecondsPerRound(const Round& round) {
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kRounds; ++i) {
    round(i);
  }
  const std::chrono::duration<double> elapsed =
      std::chrono::steady_clock::now() - start;
  return elapsed.count() / kRounds;
}

bool MeasureSlotsAndBudgets() {
  SlotLimiter limiter;
  SetShare(limiter, 3);
  AttemptBudget hedges = MakeHedgeBudget();
  const double seconds = SecondsPerRound([&](int i) {
    const Instant now = Instant{} + std::chrono::milliseconds(i);
    const auto grant = AcquireSlot(limiter, now);
    RecordPrimaryAttempt(hedges);
    if (grant) {
      ReleaseSlot(limiter, *grant, SlotOutcome::kAnswered,
                  now + std::chrono::microseconds(500 + i % 100));
    }
  });
  const double share = seconds * kSubrequestsPerSecond;
  return PrintResult("limits_subrequest_core_share", share, kOverheadBound,
                     share <= kOverheadBound);
}

bool MeasureFullQueue() {
  AdmissionQueue queue = MakeAdmissionQueue(kQueueCapacity);
  uint64_t dequeued = 0;
  const double seconds = SecondsPerRound([&](int i) {
    const Instant now = Instant{} + std::chrono::microseconds(i);
    const auto kind = static_cast<RouteKind>(i % 4);
    const QueueEntry entry{static_cast<uint64_t>(i), kind,
                           now + std::chrono::seconds(1),
                           std::chrono::milliseconds(20)};
    (void)EnqueueEntry(queue, entry, now);
    if (QueueLength(queue) + kPriorityCount > kQueueCapacity) {
      dequeued += DequeueEntry(queue, now).entry_ ? 1 : 0;
    }
  });
  const double share = seconds * kQueriesPerSecond;
  return PrintResult("limits_full_queue_core_share", share, kOverheadBound,
                     dequeued > 0 && share <= kOverheadBound);
}

// Ratio of hedges to primary attempts when every primary requests a hedge.
bool MeasureHedgeShare() {
  AttemptBudget hedges = MakeHedgeBudget();
  int extras = 0;
  for (int i = 0; i < kRounds; ++i) {
    RecordPrimaryAttempt(hedges);
    extras += SpendAttempt(hedges) ? 1 : 0;
  }
  const double share = static_cast<double>(extras) / kRounds;
  const double bound =
      0.05 + static_cast<double>(kAttemptBudgetCapacity) / kRounds;
  return PrintResult("limits_hedge_share", share, bound, share <= bound);
}

// Goodput of the adaptive gate at the load of `model`, relative to the best
// fixed limit.
bool MeasureOverloadGoodput(const char* name, const OverloadModel& model) {
  double best = 0;
  for (int limit = 10; limit <= 80; limit += 2) {
    QueryGate fixed = MakeQueryGate(limit, limit);
    best = std::max(best, MeanFrom(RunModel(model, fixed, 20, 1), 5));
  }
  QueryGate gate = MakeQueryGate(4, 1000);
  const double ratio = MeanFrom(RunModel(model, gate, 60, 1), 10) / best;
  return PrintResult(name, ratio, 0.8, ratio >= 0.8);
}

bool RunAll() {
  OverloadModel model;
  model.load_ = 3;
  bool ok = MeasureSlotsAndBudgets();
  ok = MeasureFullQueue() && ok;
  ok = MeasureHedgeShare() && ok;
  ok = MeasureOverloadGoodput("limits_overload_goodput", model) && ok;
  model.contention_ = 0.02;
  ok = MeasureOverloadGoodput("limits_contended_goodput", model) && ok;
  model.contention_ = 0;
  model.shortest_ms_ = 200;
  model.longest_ms_ = 200;
  model.deadline_ms_ = 230;
  return MeasureOverloadGoodput("limits_tight_deadline_goodput", model) && ok;
}

}  // namespace
}  // namespace clementinerill

int main() {
  return clementinerill::RunAll() ? 0 : 1;
}
