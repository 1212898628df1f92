#include "traffic/replica_state.h"

#include <algorithm>
#include <cmath>

namespace clementinerill::traffic {
namespace {

using std::chrono::milliseconds;

// Half-lives of the moving averages without new observations. Slow and failing
// replicas stay so for several seconds; the effect of a pause of 150 to 200 ms
// decays before the next one, 3.6 to 4.5 s later.
constexpr Duration kSlownessHalfLife = milliseconds(2500);
constexpr Duration kFailureHalfLife = milliseconds(4000);
// Minimum weight of one latency in the moving average of slowness, and the
// interval between responses at which the weight is one half: a daemon that
// sends few requests to a replica has to learn from few responses.
constexpr double kSlownessWeight = 0.2;
constexpr Duration kSlownessInterval = milliseconds(700);
// Upper bound of one latency relative to the median, so that a single pause
// does not make a replica look faulty.
constexpr double kSlownessCap = 8.0;
// Minimum weight of one attempt in the moving average of failures, and the
// interval between attempts at which the weight is one half.
constexpr double kFailureWeight = 0.15;
constexpr Duration kFailureInterval = milliseconds(1000);
// Slowness and failure share above which a replica is on probation.
constexpr double kProbationSlowness = 2.5;
constexpr double kProbationFailures = 0.25;
// Consecutive failures after which a replica is ejected. Two, because responses
// of healthy replicas are occasionally lost.
constexpr int kFailuresBeforeEjection = 2;
// Bounds of the ejection time, which doubles with each further failure.
constexpr Duration kInitialEjection = milliseconds(150);
constexpr Duration kMaxEjection = milliseconds(1200);
// Half-life of the reported load, which is that at the time of the response:
// queues of a few requests of 5 to 20 ms change within this time.
constexpr Duration kLoadHalfLife = milliseconds(40);

double Decay(Duration age, Duration half_life) {
  if (age <= Duration::zero()) {
    return 1.0;
  }
  return std::exp2(-static_cast<double>(age.count()) /
                   static_cast<double>(half_life.count()));
}

void UpdateSlowness(ReplicaState& replica, double ratio, Instant now) {
  const double current = Slowness(replica, now);
  const double weight =
      std::max(kSlownessWeight,
               1.0 - Decay(now - replica.slowness_at_, kSlownessInterval));
  replica.slowness_ =
      current + weight * (std::min(ratio, kSlownessCap) - current);
  replica.slowness_at_ = now;
}

void UpdateFailureShare(ReplicaState& replica, bool failed, Instant now) {
  const double current = FailureShare(replica, now);
  const double weight =
      std::max(kFailureWeight,
               1.0 - Decay(now - replica.failure_share_at_, kFailureInterval));
  replica.failure_share_ = current + weight * ((failed ? 1.0 : 0.0) - current);
  replica.failure_share_at_ = now;
}

void RecordConsecutiveFailure(ReplicaState& replica, Instant now) {
  ++replica.failures_in_row_;
  if (replica.failures_in_row_ < kFailuresBeforeEjection) {
    return;
  }
  const int doublings =
      std::min(replica.failures_in_row_ - kFailuresBeforeEjection, 4);
  const Duration ejection =
      std::min(kInitialEjection * (1 << doublings), Duration(kMaxEjection));
  replica.ejected_until_ = now + ejection;
}

void RemoveOutstanding(ReplicaState& replica, Instant sent) {
  auto& outstanding = replica.outstanding_;
  const auto found = std::find(outstanding.begin(), outstanding.end(), sent);
  if (found != outstanding.end()) {
    outstanding.erase(found);
  }
}

void RemoveSend(ReplicaState& replica, Instant sent) {
  RemoveOutstanding(replica, sent);
  RemoveColdSend(replica, sent);
}

// Whether a response since `sent` has already shown the same stall.
bool IsSameStall(const ReplicaState& replica, Instant sent, double ratio) {
  return ratio > 2.0 && replica.slowness_at_ > sent;
}

}  // namespace

void RecordSend(ReplicaState& replica, Instant now) {
  replica.outstanding_.push_back(now);
  if (replica.rate_limit_) {
    UsePermit(replica.rate_allowance_, now);
  }
}

void RemoveColdSend(ReplicaState& replica, Instant sent) {
  auto& sends = replica.recent_sends_;
  const auto found = std::find(sends.begin(), sends.end(), sent);
  if (found != sends.end()) {
    sends.erase(found);
  }
}

void CancelSend(ReplicaState& replica, Instant sent) {
  RemoveSend(replica, sent);
  if (replica.rate_limit_) {
    ReturnPermit(replica.rate_allowance_);
  }
}

void RecordOutcome(ReplicaState& replica,
                   AttemptOutcome outcome,
                   Instant sent,
                   Duration median_latency,
                   Instant now) {
  if (outcome == AttemptOutcome::kWithdrawn) {
    // Its permit is not returned: it may have expired since, and another one
    // would become available.
    RemoveSend(replica, sent);
    return;
  }
  RemoveOutstanding(replica, sent);
  switch (outcome) {
    case AttemptOutcome::kAnswered: {
      const double ratio = median_latency > Duration::zero()
                               ? static_cast<double>((now - sent).count()) /
                                     static_cast<double>(median_latency.count())
                               : 1.0;
      if (!IsSameStall(replica, sent, ratio)) {
        UpdateSlowness(replica, ratio, now);
      }
      UpdateFailureShare(replica, false, now);
      replica.failures_in_row_ = 0;
      replica.last_response_ = now;
      break;
    }
    case AttemptOutcome::kFailed:
    case AttemptOutcome::kShed:
      UpdateFailureShare(replica, true, now);
      replica.last_response_ = now;
      break;
    case AttemptOutcome::kGarbled:
      UpdateFailureShare(replica, true, now);
      break;
    case AttemptOutcome::kMisdirected:
      replica.misdirected_ = true;
      break;
    case AttemptOutcome::kNotSent:
    case AttemptOutcome::kBroken:
      UpdateFailureShare(replica, true, now);
      RecordConsecutiveFailure(replica, now);
      break;
    case AttemptOutcome::kAbandoned:
    case AttemptOutcome::kConnectTimeout:
      UpdateFailureShare(replica, true, now);
      // A timeout on one connection does not count towards ejection while the
      // replica responds on others.
      if (!replica.last_response_ || *replica.last_response_ < sent) {
        RecordConsecutiveFailure(replica, now);
      }
      break;
    case AttemptOutcome::kCancelled:
    case AttemptOutcome::kWithdrawn:
      break;
  }
}

Duration StallDuration(const ReplicaState& replica, Instant now) {
  if (replica.outstanding_.empty()) {
    return Duration::zero();
  }
  const Instant oldest = replica.outstanding_.front();
  const Instant since = replica.last_response_
                            ? std::max(oldest, *replica.last_response_)
                            : oldest;
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

bool IsEjected(const ReplicaState& replica, Instant now) {
  if (replica.failures_in_row_ < kFailuresBeforeEjection) {
    return false;
  }
  return now < replica.ejected_until_ || !replica.outstanding_.empty();
}

bool IsOnProbation(const ReplicaState& replica) {
  return replica.slowness_ > kProbationSlowness ||
         replica.failure_share_ > kProbationFailures;
}

bool HasPermit(const ReplicaState& replica, Instant now) {
  return !replica.rate_limit_ ||
         AvailablePermits(replica.rate_allowance_, now) > 0;
}

std::optional<Instant> LeavingSince(const ReplicaState& replica) noexcept {
  const auto& listed = replica.entry_.leaving_since_;
  const auto& reported = replica.departure_reported_at_;
  if (listed && reported) {
    return std::min(*listed, *reported);
  }
  return listed ? listed : reported;
}

bool IsCold(const ReplicaState& replica, Instant now) {
  return replica.entry_.cold_until_ && now < *replica.entry_.cold_until_;
}

}  // namespace clementinerill::traffic
