#include "traffic/replica_state.h"

#include <algorithm>
#include <cmath>

namespace clementinerill::traffic {
namespace {

using std::chrono::milliseconds;

// Observations lose half of their weight in this time. Slow and failing
// replicas stay so for several seconds; a pause of 150 to 200 ms is forgotten
// before the next one, 3.6 to 4.5 s later.
constexpr Duration kSlownessHalfLife = milliseconds(2500);
constexpr Duration kFailureHalfLife = milliseconds(4000);
// Least weight of one latency in the moving average of slowness, and the
// interval between answers at which it is a half: a daemon that sends little to
// a replica has to learn from few answers.
constexpr double kSlownessWeight = 0.2;
constexpr Duration kSlownessInterval = milliseconds(700);
// A latency counts at most as this multiple of the usual one, so that a single
// pause does not make a replica look broken.
constexpr double kSlownessCap = 8.0;
// Least weight of one attempt in the moving average of failures, and the
// interval between attempts at which it is a half.
constexpr double kFailureWeight = 0.15;
constexpr Duration kFailureInterval = milliseconds(1000);
// Slowness and share of failures beyond which a replica is on probation.
constexpr double kProbationSlowness = 2.5;
constexpr double kProbationFailures = 0.25;
// Failures in a row after which a replica is kept out. Two, because answers
// of healthy replicas are lost now and then.
constexpr int kFailuresToAvoid = 2;
// Bounds of the time for which a replica is kept out; it doubles with each
// further failure.
constexpr Duration kAvoidAtFirst = milliseconds(150);
constexpr Duration kAvoidAtMost = milliseconds(1200);
// Reported load describes the replica when it answered; queues of a few
// requests of 5 to 20 ms change within this time.
constexpr Duration kLoadHalfLife = milliseconds(40);

double Decay(Duration age, Duration half_life) {
  if (age <= Duration::zero()) {
    return 1.0;
  }
  return std::exp2(-static_cast<double>(age.count()) /
                   static_cast<double>(half_life.count()));
}

void AddSlowness(ReplicaState& replica, double ratio, Instant now) {
  const double present = Slowness(replica, now);
  const double weight =
      std::max(kSlownessWeight,
               1.0 - Decay(now - replica.slowness_at_, kSlownessInterval));
  replica.slowness_ =
      present + weight * (std::min(ratio, kSlownessCap) - present);
  replica.slowness_at_ = now;
}

void AddFailure(ReplicaState& replica, bool failed, Instant now) {
  const double present = FailureShare(replica, now);
  const double weight =
      std::max(kFailureWeight,
               1.0 - Decay(now - replica.failure_share_at_, kFailureInterval));
  replica.failure_share_ = present + weight * ((failed ? 1.0 : 0.0) - present);
  replica.failure_share_at_ = now;
}

void Avoid(ReplicaState& replica, Instant now) {
  ++replica.failures_in_row_;
  if (replica.failures_in_row_ < kFailuresToAvoid) {
    return;
  }
  const int doublings =
      std::min(replica.failures_in_row_ - kFailuresToAvoid, 4);
  const Duration avoid =
      std::min(kAvoidAtFirst * (1 << doublings), Duration(kAvoidAtMost));
  replica.avoid_until_ = now + avoid;
}

// Whether another answer has shown the same stall since `sent`.
bool IsSameStall(const ReplicaState& replica, Instant sent, double ratio) {
  return ratio > 2.0 && replica.slowness_at_ > sent;
}

}  // namespace

void RecordSend(ReplicaState& replica, Instant now) {
  replica.outstanding_.push_back(now);
}

void CancelSend(ReplicaState& replica, Instant sent) {
  auto& outstanding = replica.outstanding_;
  const auto found = std::find(outstanding.begin(), outstanding.end(), sent);
  if (found != outstanding.end()) {
    outstanding.erase(found);
  }
}

void RecordOutcome(ReplicaState& replica,
                   AttemptOutcome outcome,
                   Instant sent,
                   Duration usual,
                   Instant now) {
  CancelSend(replica, sent);
  switch (outcome) {
    case AttemptOutcome::kAnswered: {
      const double ratio = usual > Duration::zero()
                               ? static_cast<double>((now - sent).count()) /
                                     static_cast<double>(usual.count())
                               : 1.0;
      if (!IsSameStall(replica, sent, ratio)) {
        AddSlowness(replica, ratio, now);
      }
      AddFailure(replica, false, now);
      replica.failures_in_row_ = 0;
      replica.last_answer_ = now;
      break;
    }
    case AttemptOutcome::kFailed:
    case AttemptOutcome::kShed:
      AddFailure(replica, true, now);
      replica.last_answer_ = now;
      break;
    case AttemptOutcome::kGarbled:
      AddFailure(replica, true, now);
      break;
    case AttemptOutcome::kMisdirected:
      replica.misdirected_ = true;
      break;
    case AttemptOutcome::kNotSent:
    case AttemptOutcome::kBroken:
      AddFailure(replica, true, now);
      Avoid(replica, now);
      break;
    case AttemptOutcome::kAbandoned:
      AddFailure(replica, true, now);
      // A silent connection to a replica that answers others is no reason to
      // avoid the replica.
      if (!replica.last_answer_ || *replica.last_answer_ < sent) {
        Avoid(replica, now);
      }
      break;
    case AttemptOutcome::kCancelled:
      break;
  }
}

void RecordLoad(ReplicaState& replica, const ReportedLoad& load, Instant now) {
  replica.reported_busy_ = load.running_ + load.waiting_;
  replica.reported_at_ = now;
}

Duration StalledFor(const ReplicaState& replica, Instant now) {
  if (replica.outstanding_.empty()) {
    return Duration::zero();
  }
  const Instant oldest = replica.outstanding_.front();
  const Instant since =
      replica.last_answer_ ? std::max(oldest, *replica.last_answer_) : oldest;
  return now - since;
}

double Slowness(const ReplicaState& replica, Instant now) {
  return 1.0 + (replica.slowness_ - 1.0) *
                   Decay(now - replica.slowness_at_, kSlownessHalfLife);
}

double FailureShare(const ReplicaState& replica, Instant now) {
  return replica.failure_share_ *
         Decay(now - replica.failure_share_at_, kFailureHalfLife);
}

double EstimatedBusy(const ReplicaState& replica, Instant now) {
  const auto own = static_cast<double>(replica.outstanding_.size());
  const double reported =
      replica.reported_busy_ * Decay(now - replica.reported_at_, kLoadHalfLife);
  return std::max(own, reported);
}

bool IsAvoided(const ReplicaState& replica, Instant now) {
  if (replica.failures_in_row_ < kFailuresToAvoid) {
    return false;
  }
  return now < replica.avoid_until_ || !replica.outstanding_.empty();
}

bool IsOnProbation(const ReplicaState& replica) {
  return replica.slowness_ > kProbationSlowness ||
         replica.failure_share_ > kProbationFailures;
}

bool IsCold(const ReplicaState& replica, Instant now) {
  return replica.entry_.cold_until_ && now < *replica.entry_.cold_until_;
}

}  // namespace clementinerill::traffic
