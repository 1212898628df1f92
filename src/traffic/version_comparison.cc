#include "traffic/version_comparison.h"

#include <algorithm>
#include <cmath>

namespace clementinerill::traffic {
namespace {

// A response that takes longer than this multiple of the usual latency is bad:
// a version that is several times slower counts as bad.
constexpr double kSlowFactor = 2.5;

// Difference of the shares of bad responses that the test has to find.
constexpr double kBadShareDifference = 0.2;
// Assumed share of bad responses of the current version before any evidence,
// and the number of responses that the assumption weighs as much as.
constexpr double kAssumedBadShare = 0.05;
constexpr double kAssumedResponses = 20;
// Bounds of the estimate of that share.
constexpr double kMinBadShare = 0.03;
constexpr double kMaxBadShare = 0.6;
constexpr double kMaxWorseShare = 0.95;
// Boundaries of the sequential test, as natural logarithms of likelihood
// ratios: 1 in 1000 good versions is found bad by chance in an excursion, 3 in
// 100 bad ones good.
constexpr double kBadEvidence = 6.9;
constexpr double kGoodEvidence = 3.5;
// A single daemon's pause or a lost replica makes a few bad responses at once.
constexpr int64_t kMinBadResponses = 4;
// Recent evidence against the target version that defers its completion: half
// of what a rollback takes, which is two bad responses of a version that should
// have hardly any.
constexpr double kMaxRecentSuspicion = kBadEvidence / 2;

// Share of the length of the order from which a good version is completed. The
// remaining time is for the store to accept and distribute the completion, and
// for a retry.
constexpr double kCompletionPoint = 0.85;
// Share from which a version without sufficient evidence is rolled back.
constexpr double kGiveUpPoint = 0.97;

// Requests that the target version gets from all daemons besides its share of
// the requests. The users allow 50 with those of the load trial; the rest is
// for requests in flight and for daemons that restart.
constexpr double kEvidenceRequests = 36;
// Share of the length of the order over which they are spread. A fault that
// appears late is detected by those that follow.
constexpr double kEvidenceSpread = 0.85;
// Shares of all requests that the target version gets: more towards the end,
// so that a fault that appears late is detected too. With the load trial 0.69 x
// 0.01 + 0.19 x 0.17 + 0.05 = 0.089 of the requests, of a tenth that the users
// allow.
constexpr double kFirstStageEnd = 0.6875;
constexpr double kFirstStageShare = 0.01;
constexpr double kSecondStageShare = 0.17;
// Time of the load trial, as shares of the length of the order. Replicas that
// were started for the order are warm by then, and the rest of the time is
// enough to collect the evidence.
constexpr double kTrialStart = 0.6;
constexpr double kTrialEnd = 0.7;
// Requests of the load trial: a share of all of the order, and a number that
// makes it long enough to be a load where there are few.
constexpr double kTrialShare = 0.05;
constexpr double kTrialRequests = 8;
// The share is set so that the target version has what it may get after this
// time. Evidence of other daemons is up to a second old.
constexpr double kCatchUpSeconds = 1.0;
// The current version keeps a part, as the baseline.
constexpr double kMaxTargetShare = 0.75;

bool IsEvidence(const VersionAttempt& attempt, bool slow) {
  if (IsNotRun(attempt.outcome_)) {
    return false;
  }
  if (attempt.outcome_ == AttemptOutcome::kCancelled) {
    return slow;
  }
  return attempt.outcome_ != AttemptOutcome::kAnswered || !slow ||
         !attempt.is_cold_;
}

double ElapsedShare(const RolloutOrder& order, Instant now) {
  return order.length_ <= Duration::zero()
             ? 1.0
             : ToFractionalMilliseconds(now - order.ordered_) /
                   ToFractionalMilliseconds(order.length_);
}

size_t PeriodAt(const RolloutOrder& order, Instant now) {
  const double periods =
      std::max(0.0, ElapsedShare(order, now)) * static_cast<double>(kPeriods);
  return std::min(static_cast<size_t>(std::min(periods, 1e6)), kPeriods - 1);
}

size_t TrialStepAt(const RolloutOrder& order, Instant now) {
  const double part =
      (ElapsedShare(order, now) - kTrialStart) / (kTrialEnd - kTrialStart);
  return std::min(static_cast<size_t>(std::clamp(part, 0.0, 1.0) *
                                      static_cast<double>(kTrialSteps)),
                  kTrialSteps - 1);
}

void Add(VersionOutcomes& sum, const VersionOutcomes& more) {
  sum.judged_ += more.judged_;
  sum.bad_ += more.bad_;
}

void Add(PeriodOutcomes& sum, const PeriodOutcomes& more) {
  Add(sum.target_, more.target_);
  Add(sum.current_, more.current_);
}

PeriodOutcomes SumOf(const RouteOutcomes& outcomes) {
  PeriodOutcomes sum;
  for (const PeriodOutcomes& period : outcomes) {
    Add(sum, period);
  }
  return sum;
}

// Share of bad responses, drawn towards `assumed` while there are few.
double EstimateBadShare(const VersionOutcomes& outcomes, double assumed) {
  return (static_cast<double>(outcomes.bad_) + assumed * kAssumedResponses) /
         (static_cast<double>(outcomes.judged_) + kAssumedResponses);
}

// Logarithm of the likelihood ratio of a worse version and an equal one.
double EvidenceOf(const VersionOutcomes& target, double current_share) {
  const double equal = std::clamp(current_share, kMinBadShare, kMaxBadShare);
  const double worse = std::min(equal + kBadShareDifference, kMaxWorseShare);
  const auto bad = static_cast<double>(target.bad_);
  const auto good = static_cast<double>(target.judged_ - target.bad_);
  return bad * std::log(worse / equal) +
         good * std::log((1 - worse) / (1 - equal));
}

struct Suspicion {
  double total_ = 0;   ///< Of all evidence; negative if the version is good.
  double recent_ = 0;  ///< Since it was last zero, by a cumulative sum.
  bool is_bad_ = false;
};

// Adds the outcomes of the next period. `recent_bad`: bad responses since the
// cumulative sum was last zero.
void AddEvidence(const VersionOutcomes& target,
                 double current_share,
                 Suspicion& suspicion,
                 int64_t& recent_bad) {
  const double evidence = EvidenceOf(target, current_share);
  suspicion.total_ += evidence;
  suspicion.recent_ += evidence;
  recent_bad += target.bad_;
  if (suspicion.recent_ <= 0) {
    suspicion.recent_ = 0;
    recent_bad = 0;
  }
  suspicion.is_bad_ = suspicion.is_bad_ || (suspicion.recent_ >= kBadEvidence &&
                                            recent_bad >= kMinBadResponses);
}

Suspicion SuspicionOf(const RouteOutcomes& outcomes) {
  const double overall =
      EstimateBadShare(SumOf(outcomes).current_, kAssumedBadShare);
  Suspicion suspicion;
  int64_t recent_bad = 0;
  for (const PeriodOutcomes& period : outcomes) {
    AddEvidence(period.target_, EstimateBadShare(period.current_, overall),
                suspicion, recent_bad);
  }
  return suspicion;
}

// The evidence of the load trial by itself: later good responses without load
// do not outweigh its bad ones.
Suspicion SuspicionOfTrial(const LoadTrial& trial, double current_share) {
  Suspicion suspicion;
  int64_t recent_bad = 0;
  for (const VersionOutcomes& step : trial.steps_) {
    AddEvidence(step, current_share, suspicion, recent_bad);
  }
  return suspicion;
}

RouteOutcomes SumOfRoutes(const VersionComparison& comparison) {
  RouteOutcomes sum;
  for (size_t period = 0; period < kPeriods; ++period) {
    sum[period] = SumOfPeriod(comparison, period);
  }
  return sum;
}

double AllowedRequests(const VersionComparison& sum, int daemons, Instant now) {
  const double elapsed = std::max(0.0, ElapsedShare(sum.order_, now));
  const double known =
      std::min(1.0, static_cast<double>(sum.daemons_) / std::max(daemons, 1));
  double allowed =
      kEvidenceRequests * known * std::min(1.0, elapsed / kEvidenceSpread);
  for (size_t period = 0; period < kPeriods; ++period) {
    const PeriodOutcomes outcomes = SumOfPeriod(sum, period);
    const double start =
        static_cast<double>(period) / static_cast<double>(kPeriods);
    const bool is_second = start >= kFirstStageEnd && start < kCompletionPoint;
    allowed += (is_second ? kSecondStageShare : kFirstStageShare) *
               static_cast<double>(outcomes.target_.judged_ +
                                   outcomes.current_.judged_);
  }
  return allowed;
}

}  // namespace

void RecordVersionAttempt(VersionComparison& comparison,
                          bool is_target,
                          Instant now) noexcept {
  ++(is_target ? comparison.target_attempts_ : comparison.current_attempts_);
  if (is_target && IsInLoadTrial(comparison.order_, now)) {
    ++comparison.trial_.attempts_;
  }
}

bool IsInLoadTrial(const RolloutOrder& order, Instant now) noexcept {
  const double elapsed = ElapsedShare(order, now);
  return elapsed >= kTrialStart && elapsed < kTrialEnd;
}

double LoadTrialRequests(const VersionComparison& sum,
                         int64_t attempts,
                         Instant now) noexcept {
  const auto sent =
      static_cast<double>(sum.target_attempts_ + sum.current_attempts_);
  const double elapsed = ElapsedShare(sum.order_, now);
  if (sent <= 0 || elapsed <= 0) {
    return 0.0;
  }
  const double requests = kTrialRequests + kTrialShare * sent / elapsed;
  return requests * std::min(1.0, static_cast<double>(attempts) / sent);
}

void RecordVersionOutcome(VersionComparison& comparison,
                          const std::string& route,
                          const VersionAttempt& attempt,
                          Instant now) {
  const bool slow = attempt.usual_latency_ > Duration::zero() &&
                    attempt.took_ > Scale(attempt.usual_latency_, kSlowFactor);
  PeriodOutcomes& period =
      comparison.routes_[route][PeriodAt(comparison.order_, now)];
  if (!IsEvidence(attempt, slow)) {
    return;
  }
  VersionOutcomes& outcomes =
      attempt.is_target_ ? period.target_ : period.current_;
  ++outcomes.judged_;
  const int64_t bad =
      attempt.outcome_ != AttemptOutcome::kAnswered || slow ? 1 : 0;
  outcomes.bad_ += bad;
  const Instant sent = now - attempt.took_;
  if (attempt.is_target_ && IsInLoadTrial(comparison.order_, sent)) {
    VersionOutcomes& step =
        comparison.trial_.steps_[TrialStepAt(comparison.order_, sent)];
    ++step.judged_;
    step.bad_ += bad;
  }
}

PeriodOutcomes SumOfPeriod(const VersionComparison& comparison,
                           size_t period) noexcept {
  PeriodOutcomes sum;
  for (const auto& [route, outcomes] : comparison.routes_) {
    Add(sum, outcomes[period]);
  }
  return sum;
}

VersionOutcomes SumOfTrial(const LoadTrial& trial) noexcept {
  VersionOutcomes sum;
  for (const VersionOutcomes& step : trial.steps_) {
    Add(sum, step);
  }
  return sum;
}

PeriodOutcomes SumOfOutcomes(const VersionComparison& comparison) noexcept {
  return SumOf(SumOfRoutes(comparison));
}

VersionStanding StandingOf(const VersionComparison& comparison) noexcept {
  const RouteOutcomes sum = SumOfRoutes(comparison);
  const Suspicion all = SuspicionOf(sum);
  const Suspicion trial =
      SuspicionOfTrial(comparison.trial_,
                       EstimateBadShare(SumOf(sum).current_, kAssumedBadShare));
  bool is_bad = comparison.is_bad_ || all.is_bad_ || trial.is_bad_;
  bool is_suspect =
      all.recent_ > kMaxRecentSuspicion || trial.recent_ > kMaxRecentSuspicion;
  for (const auto& [route, outcomes] : comparison.routes_) {
    const Suspicion suspicion = SuspicionOf(outcomes);
    is_bad = is_bad || suspicion.is_bad_;
    is_suspect = is_suspect || suspicion.recent_ > kMaxRecentSuspicion;
  }
  if (is_bad) {
    return VersionStanding::kBad;
  }
  return all.total_ <= -kGoodEvidence && !is_suspect
             ? VersionStanding::kGood
             : VersionStanding::kUndecided;
}

std::optional<RolloutState> DueDecision(const VersionComparison& comparison,
                                        Instant now) noexcept {
  if (comparison.order_.state_ != RolloutState::kInProgress) {
    return std::nullopt;
  }
  const VersionStanding standing = StandingOf(comparison);
  const double elapsed = ElapsedShare(comparison.order_, now);
  if (standing == VersionStanding::kBad) {
    return RolloutState::kRolledBack;
  }
  if (standing == VersionStanding::kGood && elapsed >= kCompletionPoint) {
    return RolloutState::kCompleted;
  }
  if (elapsed >= kGiveUpPoint) {
    return RolloutState::kRolledBack;
  }
  return std::nullopt;
}

double TargetShare(const VersionComparison& sum,
                   int daemons,
                   Instant now) noexcept {
  if (sum.order_.state_ == RolloutState::kCompleted) {
    return 1.0;
  }
  if (sum.order_.state_ == RolloutState::kRolledBack || sum.is_bad_) {
    return 0.0;
  }
  const double seconds =
      ToFractionalMilliseconds(now - sum.order_.ordered_) / 1000.0;
  const auto sent =
      static_cast<double>(sum.target_attempts_ + sum.current_attempts_);
  if (seconds <= 0 || sent <= 0) {
    return 0.0;
  }
  const double missing =
      AllowedRequests(sum, daemons, now) -
      static_cast<double>(sum.target_attempts_ - sum.trial_.attempts_);
  return std::clamp(missing / (sent / seconds * kCatchUpSeconds), 0.0,
                    kMaxTargetShare);
}

}  // namespace clementinerill::traffic
