#include "traffic/aggregator_health.h"

#include <algorithm>

namespace clementinerill::traffic {
namespace {

using std::chrono::milliseconds;

// Time without queries after a refusal: of the order of the time that a change
// of the configuration takes to reach all daemons.
constexpr Duration kRefusalPause = milliseconds(300);
// The same after a failure; doubles with each further one up to the maximum.
constexpr Duration kInitialFailurePause = milliseconds(1000);
constexpr Duration kMaxFailurePause = milliseconds(8000);
constexpr int kMaxDoublings = 3;
// Share of the objective within which the start is confirmed.
constexpr double kAcknowledgeShareOfObjective = 0.25;

}  // namespace

void RecordForward(AggregatorHealth& health,
                   ForwardOutcome outcome,
                   Instant now) {
  switch (outcome) {
    case ForwardOutcome::kAnswered:
      health.failures_in_row_ = 0;
      return;
    case ForwardOutcome::kCancelled:
      return;
    case ForwardOutcome::kRefused:
      health.avoided_until_ = now + kRefusalPause;
      return;
    case ForwardOutcome::kNotSent:
    case ForwardOutcome::kUnacknowledged:
    case ForwardOutcome::kBroken:
    case ForwardOutcome::kTimedOut:
      break;
  }
  const int doublings = std::min(health.failures_in_row_, kMaxDoublings);
  const Duration pause = kInitialFailurePause * (1 << doublings);
  ++health.failures_in_row_;
  health.avoided_until_ = now + std::min(pause, kMaxFailurePause);
}

bool IsUsable(const AggregatorHealth& health, Instant now) noexcept {
  return now >= health.avoided_until_;
}

Duration AcknowledgeTimeout(const RouteRule& route) noexcept {
  return Scale(route.objective_, kAcknowledgeShareOfObjective);
}

}  // namespace clementinerill::traffic
