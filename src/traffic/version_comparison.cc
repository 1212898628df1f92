#include "traffic/version_comparison.h"

namespace clementinerill::traffic {
namespace {

// Parts of the order's length: until the first the share is small, at the
// second the rollout is completed; the rest is for the replicas of the store's
// answer and a second try.
constexpr double kFirstStage = 0.6;
constexpr double kCompletion = 0.85;
// Shares of the stages: 0.6 x 0.04 + 0.25 x 0.25 is 0.087 of all requests,
// below the tenth that a bad version may get.
constexpr double kFirstShare = 0.04;
constexpr double kSecondShare = 0.25;
// An answer that takes this multiple of the usual latency is bad: versions are
// bad when they are several times slower.
constexpr int kSlowFactor = 3;
// Bad answers of the target version before it is judged. A fleet of nine
// daemons finds a fault well before the fiftieth bad answer of all.
constexpr int64_t kLeastBad = 4;
// The target version is worse when its share of bad answers exceeds this
// multiple of the present one's by this margin; pauses make about 4% of the
// answers of every version slow.
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

void RecordVersion(VersionComparison& comparison,
                   bool is_target,
                   AttemptOutcome outcome,
                   Duration took,
                   Duration usual) {
  if (!IsEvidence(outcome)) {
    return;
  }
  VersionOutcomes& outcomes =
      is_target ? comparison.target_ : comparison.current_;
  const bool slow = usual > Duration::zero() && took > usual * kSlowFactor;
  ++outcomes.attempts_;
  outcomes.bad_ += outcome != AttemptOutcome::kAnswered || slow ? 1 : 0;
}

bool IsClearlyWorse(const VersionComparison& comparison) noexcept {
  return comparison.target_.bad_ >= kLeastBad &&
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
  if (elapsed >= order.length_ * kCompletion) {
    // Undecided, because the store did not take the completion yet.
    return kFirstShare;
  }
  return elapsed < order.length_ * kFirstStage ? kFirstShare : kSecondShare;
}

bool MayComplete(const VersionComparison& comparison, Instant now) noexcept {
  return comparison.order_.state_ == RolloutState::kInProgress &&
         !comparison.is_bad_ && comparison.target_.attempts_ > 0 &&
         now - comparison.order_.ordered_ >=
             comparison.order_.length_ * kCompletion;
}

}  // namespace clementinerill::traffic
