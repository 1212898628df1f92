#include "traffic/version_comparison.h"

namespace clementinerill::traffic {
namespace {

// Ends of the two stages, as shares of the length of the order. At the end of
// the second the rollout is completed; the remaining time is for the store to
// accept and distribute the completion, and for a retry.
constexpr double kFirstStageEnd = 0.6;
constexpr double kCompletionPoint = 0.85;
// Shares of the requests in the two stages: 0.6 x 0.04 + 0.25 x 0.25 is 0.087
// of all requests, below the tenth that a bad version may get.
constexpr double kFirstStageShare = 0.04;
constexpr double kSecondStageShare = 0.25;
// A response that takes longer than this multiple of the median latency is bad:
// a version that is several times slower counts as bad.
constexpr int kSlowFactor = 3;
// Minimum number of bad responses before the target version is judged. A fleet
// of nine daemons detects a fault well before the fiftieth bad response
// overall.
constexpr int64_t kMinBadResponses = 4;
// The target version is worse if its share of bad responses exceeds this
// multiple of that of the current version by this margin; pauses make about 4%
// of the responses of every version slow.
constexpr double kWorseFactor = 2.5;
constexpr double kWorseMargin = 0.05;

bool IsEvidence(AttemptOutcome outcome) {
  return !IsNotRun(outcome) && outcome != AttemptOutcome::kCancelled;
}

double BadShare(const VersionOutcomes& outcomes) {
  return outcomes.attempts_ == 0 ? 0.0
                                 : static_cast<double>(outcomes.bad_) /
                                       static_cast<double>(outcomes.attempts_);
}

}  // namespace

void RecordVersionOutcome(VersionComparison& comparison,
                          bool is_target,
                          AttemptOutcome outcome,
                          Duration took,
                          Duration median_latency) {
  VersionOutcomes& outcomes =
      is_target ? comparison.target_ : comparison.current_;
  if (!IsEvidence(outcome)) {
    outcomes.unjudged_ += IsNotRun(outcome) ? 0 : 1;
    return;
  }
  const bool slow =
      median_latency > Duration::zero() && took > median_latency * kSlowFactor;
  ++outcomes.attempts_;
  outcomes.bad_ += outcome != AttemptOutcome::kAnswered || slow ? 1 : 0;
}

bool IsClearlyWorse(const VersionComparison& comparison) noexcept {
  return comparison.target_.bad_ >= kMinBadResponses &&
         BadShare(comparison.target_) >
             kWorseFactor * BadShare(comparison.current_) + kWorseMargin;
}

double TargetShare(const VersionComparison& comparison, Instant now) noexcept {
  const RolloutOrder& order = comparison.order_;
  if (order.state_ == RolloutState::kCompleted) {
    return 1.0;
  }
  if (order.state_ == RolloutState::kRolledBack || comparison.is_bad_) {
    return 0.0;
  }
  const Duration elapsed = now - order.ordered_;
  if (elapsed >= order.length_ * kCompletionPoint) {
    // Undecided, because the store has not accepted the completion yet.
    return kFirstStageShare;
  }
  return elapsed < order.length_ * kFirstStageEnd ? kFirstStageShare
                                                  : kSecondStageShare;
}

bool MayComplete(const VersionComparison& comparison, Instant now) noexcept {
  return comparison.order_.state_ == RolloutState::kInProgress &&
         !comparison.is_bad_ && comparison.target_.attempts_ > 0 &&
         now - comparison.order_.ordered_ >=
             comparison.order_.length_ * kCompletionPoint;
}

}  // namespace clementinerill::traffic
