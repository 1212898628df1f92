#include "traffic/advance_query.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "traffic/cold_limit.h"
#include "traffic/skip_overloaded_parts.h"

namespace clementinerill::traffic {
namespace {

using std::chrono::milliseconds;

// The query ends this long before its deadline, so that the response reaches
// the caller in time.
constexpr Duration kDeadlineMargin = milliseconds(5);
// Interval at which a part looks for a free connection again.
constexpr Duration kConnectionRetryInterval = milliseconds(3);
// Sends beyond `max_attempts_` that a part may make after refusals that prove
// that the request did not run.
constexpr int kExtraSendsAfterRefusal = 1;
// A request waits for a rate limit this share of its objective at most. Beyond
// that it is refused, so that its caller can turn elsewhere in time.
constexpr double kMaxPermitWaitShareOfObjective = 0.25;

bool IsIdempotent(const Query& query) {
  return query.route_->kind_ == RequestKind::kIdempotent;
}

bool HasOpenAttempt(const QueryPart& part) {
  return std::any_of(part.attempts_.begin(), part.attempts_.end(),
                     [](const Attempt& attempt) { return attempt.is_open_; });
}

int CountMayHaveRun(const QueryPart& part) {
  return static_cast<int>(std::count_if(
      part.attempts_.begin(), part.attempts_.end(), [](const Attempt& attempt) {
        return attempt.is_open_ || !IsNotRun(attempt.outcome_);
      }));
}

int CountSent(const QueryPart& part) {
  return static_cast<int>(std::count_if(
      part.attempts_.begin(), part.attempts_.end(), [](const Attempt& attempt) {
        return attempt.is_open_ || !IsUnsent(attempt.outcome_);
      }));
}

bool MayAttempt(const Query& query, const QueryPart& part) {
  const int used_elsewhere = part.is_repeat_ ? 1 : 0;
  const int max_attempts =
      std::max(query.route_->max_attempts_ - used_elsewhere, 1);
  const int ran = CountMayHaveRun(part);
  if (!IsIdempotent(query) && ran > 0) {
    return false;
  }
  return ran < max_attempts &&
         CountSent(part) < max_attempts + kExtraSendsAfterRefusal;
}

// Age from which a share of requests for a target version is not used. Shares
// are computed four times a second.
constexpr Duration kMaxVersionShareAge = std::chrono::seconds(2);

// The share of first attempts that go to the target version of the rollout of
// `service` before it is completed.
double VersionShareAt(const ServiceState& service, Instant now) {
  const VersionComparison& rollout = *service.rollout_;
  const auto& share = service.version_share_;
  if (rollout.order_.state_ != RolloutState::kInProgress || rollout.is_bad_ ||
      !share || share->target_version_ != rollout.order_.target_version_ ||
      now - share->computed_ > kMaxVersionShareAge) {
    return 0.0;
  }
  if (IsInLoadTrial(rollout.order_, now)) {
    return rollout.trial_.attempts_ < share->trial_requests_ ? 1.0 : 0.0;
  }
  return share->share_;
}

// Whether the next attempt of a part goes to the target version of a rollout.
// Before completion only first attempts do, selected by the hash of the query
// id, so that a further attempt reaches the current version.
bool TakesTargetVersion(const Query& query,
                        const QueryPart& part,
                        Instant now) {
  if (!part.service_->rollout_) {
    return false;
  }
  if (part.service_->rollout_->order_.state_ == RolloutState::kCompleted) {
    return true;
  }
  constexpr uint64_t kSteps = 10000;
  const uint64_t step = Hash64(query.id_ + part.service_->name_) % kSteps;
  return part.attempts_.empty() &&
         static_cast<double>(step) <
             VersionShareAt(*part.service_, now) * static_cast<double>(kSteps);
}

// Whether a part without an eligible replica of the chosen version may use the
// other version. Only attempts at the target version may fall back to the
// current one, also after completion; never the other way round.
bool MayUseOtherVersion(const ServiceState& service, bool from_target) {
  return service.rollout_ && from_target;
}

ReplicaChoice Choose(FleetState& fleet,
                     const Query& query,
                     const QueryPart& part,
                     Instant now) {
  ReplicaCriteria criteria;
  criteria.route_ = query.route_;
  criteria.median_latency_ = RouteLatency(fleet, *query.route_).Median();
  for (const Attempt& attempt : part.attempts_) {
    criteria.tried_.push_back(attempt.replica_.get());
  }
  criteria.takes_target_version_ = TakesTargetVersion(query, part, now);
  ReplicaChoice choice = ChooseReplica(fleet, *part.service_, criteria, now);
  const bool no_replica = choice.reason_ == NoReplicaReason::kUnavailable ||
                          choice.reason_ == NoReplicaReason::kRateLimited;
  if (no_replica &&
      MayUseOtherVersion(*part.service_, criteria.takes_target_version_)) {
    criteria.takes_target_version_ = !criteria.takes_target_version_;
    choice = ChooseReplica(fleet, *part.service_, criteria, now);
  }
  return choice;
}

void AddAttempt(QueryPart& part,
                std::shared_ptr<ReplicaState> replica,
                bool is_hedge,
                Instant now) {
  RecordSend(*replica, now);
  RecordColdSend(*part.service_, *replica, now);
  if (part.service_->rollout_) {
    RecordVersionAttempt(*part.service_->rollout_,
                         IsTargetVersion(*part.service_, *replica), now);
  }
  Attempt attempt;
  attempt.replica_ = std::move(replica);
  attempt.sent_ = now;
  attempt.is_hedge_ = is_hedge;
  part.attempts_.push_back(std::move(attempt));
}

bool SpendExtra(FleetState& fleet,
                QueryPart& part,
                ExtraAttemptUse use,
                Instant now) {
  return part.service_->extra_attempt_budget_.TrySpend(
      fleet.limits_.extra_attempts_, CountDaemons(*fleet.view_), use, now);
}

void FailPart(QueryPart& part, PartFailureReason reason) {
  part.state_ = PartState::kFailed;
  part.failure_reason_ = reason;
}

bool MayWaitForPermit(const Query& query,
                      const ReplicaChoice& choice,
                      Instant now) {
  const Duration max_wait =
      Scale(query.route_->objective_, kMaxPermitWaitShareOfObjective);
  return choice.permit_wait_ <= query.started_ + max_wait - now;
}

// Adds the first attempt of a part, or the next one after a failure, at the
// chosen replica. Returns whether an attempt was added.
bool TryAttempt(FleetState& fleet,
                const Query& query,
                QueryPart& part,
                const ReplicaChoice& choice,
                Instant now) {
  if (choice.reason_ == NoReplicaReason::kNoConnection) {
    return false;
  }
  if (choice.reason_ == NoReplicaReason::kRateLimited) {
    if (!MayWaitForPermit(query, choice, now)) {
      FailPart(part, PartFailureReason::kRateLimited);
    }
    return false;
  }
  if (choice.reason_ == NoReplicaReason::kUnavailable) {
    FailPart(part, PartFailureReason::kNoReplica);
    return false;
  }
  if ((CountSent(part) > 0 || part.is_repeat_) &&
      !SpendExtra(fleet, part, ExtraAttemptUse::kRetry, now)) {
    FailPart(part, PartFailureReason::kLimitReached);
    return false;
  }
  AddAttempt(part, choice.replica_, false, now);
  return true;
}

bool MayHedge(const Query& query, const QueryPart& part) {
  return IsIdempotent(query) && !part.hedge_refused_ && MayAttempt(query, part);
}

bool TryHedge(FleetState& fleet, Query& query, QueryPart& part, Instant now) {
  const ReplicaChoice choice = Choose(fleet, query, part, now);
  if (choice.reason_ == NoReplicaReason::kNoConnection) {
    return false;
  }
  // A hedge at a replica that gets more than it accepts would cost another
  // query its first attempt.
  if (choice.reason_ != NoReplicaReason::kNone ||
      choice.rate_headroom_ < kScarceRateHeadroom ||
      !SpendExtra(fleet, part, ExtraAttemptUse::kHedge, now)) {
    part.hedge_refused_ = true;
    return false;
  }
  AddAttempt(part, choice.replica_, true, now);
  return true;
}

Instant HedgeTime(const Query& query, const QueryPart& part) {
  return part.attempts_.back().sent_ + query.hedge_delay_;
}

// Chooses the replicas of all first attempts before any is sent, so that slow
// parts can be skipped if the others suffice.
std::vector<ReplicaChoice> StartParts(FleetState& fleet,
                                      Query& query,
                                      Instant now) {
  std::vector<ReplicaChoice> choices(query.parts_.size());
  for (size_t i = 0; i < choices.size(); ++i) {
    const QueryPart& part = query.parts_[i];
    if (part.state_ == PartState::kPending && !part.is_delegated_) {
      choices[i] = Choose(fleet, query, query.parts_[i], now);
    }
  }
  SkipOverloadedParts(query, choices, now);
  return choices;
}

// Time until a part without an attempt looks for a replica again.
Duration RetryInterval(const ReplicaChoice& choice) {
  return choice.reason_ == NoReplicaReason::kRateLimited
             ? std::max(choice.permit_wait_, Duration(kConnectionRetryInterval))
             : kConnectionRetryInterval;
}

// `first` is the choice for the first attempt; null in later steps.
void AdvancePart(FleetState& fleet,
                 Query& query,
                 size_t index,
                 const ReplicaChoice* first,
                 Instant now,
                 std::vector<SendAction>& sends) {
  QueryPart& part = query.parts_[index];
  if (part.state_ != PartState::kPending || part.is_delegated_) {
    return;
  }
  if (query.access_refusal_) {
    if (!HasOpenAttempt(part)) {
      FailPart(part, PartFailureReason::kAccessLost);
    }
    return;
  }
  bool added = false;
  if (!HasOpenAttempt(part)) {
    if (!MayAttempt(query, part)) {
      FailPart(part, PartFailureReason::kAttemptsUsed);
      return;
    }
    const ReplicaChoice choice =
        first ? *first : Choose(fleet, query, part, now);
    added = TryAttempt(fleet, query, part, choice, now);
    if (!added && part.state_ == PartState::kPending) {
      query.wake_at_ = std::min(query.wake_at_, now + RetryInterval(choice));
    }
  } else if (MayHedge(query, part) && HedgeTime(query, part) <= now) {
    added = TryHedge(fleet, query, part, now);
    if (!added && !part.hedge_refused_) {
      query.wake_at_ = std::min(query.wake_at_, now + kConnectionRetryInterval);
    }
  }
  if (added) {
    sends.push_back({index, part.attempts_.size() - 1});
  }
  if (HasOpenAttempt(part) && MayHedge(query, part)) {
    const Instant hedge_at = HedgeTime(query, part);
    if (hedge_at > now) {
      query.wake_at_ = std::min(query.wake_at_, hedge_at);
    }
  }
}

// Cancels attempts that were added in the step that ended the query.
void CancelSends(Query& query, std::vector<SendAction>& sends) {
  for (const SendAction& send : sends) {
    Attempt& attempt = query.parts_[send.part_].attempts_[send.attempt_];
    CancelSend(*attempt.replica_, attempt.sent_);
    attempt.is_open_ = false;
    attempt.outcome_ = AttemptOutcome::kNotSent;
  }
  sends.clear();
}

QueryOutcome FailureOutcome(const Query& query) {
  return MayHaveRun(query) ? QueryOutcome::kFailed : QueryOutcome::kRefused;
}

QueryOutcome DecideOutcome(const Query& query, Instant now) {
  const size_t answered = CountParts(query, PartState::kAnswered);
  const size_t pending = CountParts(query, PartState::kPending);
  const size_t required = RequiredParts(query);
  if (answered == query.parts_.size()) {
    return QueryOutcome::kComplete;
  }
  if (answered + pending < required) {
    return FailureOutcome(query);
  }
  const bool is_late = IsDue(query, now);
  if (answered >= required &&
      (pending == 0 || now >= query.partial_response_at_ || is_late)) {
    return QueryOutcome::kPartial;
  }
  if (is_late) {
    return MayHaveRun(query) ? QueryOutcome::kTimedOut : QueryOutcome::kRefused;
  }
  return QueryOutcome::kOpen;
}

}  // namespace

std::vector<SendAction> Advance(FleetState& fleet, Query& query, Instant now) {
  std::vector<SendAction> sends;
  if (query.outcome_ != QueryOutcome::kOpen) {
    return sends;
  }
  query.wake_at_ = query.deadline_ - kDeadlineMargin;
  if (now < query.wake_at_) {
    std::vector<ReplicaChoice> first;
    if (!query.is_started_) {
      query.is_started_ = true;
      first = StartParts(fleet, query, now);
    }
    for (size_t i = 0; i < query.parts_.size(); ++i) {
      AdvancePart(fleet, query, i, first.empty() ? nullptr : &first[i], now,
                  sends);
    }
  }
  query.outcome_ = DecideOutcome(query, now);
  if (query.outcome_ != QueryOutcome::kOpen) {
    CancelSends(query, sends);
    // Attempts that were added in this step have not run.
    if (query.outcome_ == QueryOutcome::kFailed) {
      query.outcome_ = FailureOutcome(query);
    }
  }
  if (query.partial_response_at_ > now) {
    query.wake_at_ = std::min(query.wake_at_, query.partial_response_at_);
  }
  return sends;
}

bool IsDue(const Query& query, Instant now) {
  return now >= query.deadline_ - kDeadlineMargin;
}

Duration RemainingTime(const Query& query, Instant now) {
  return std::max(query.deadline_ - now, Duration::zero());
}

}  // namespace clementinerill::traffic
