#include "sweep/query_step.h"

#include <algorithm>
#include <utility>

#include "base/invariant.h"
#include "sweep/coverage.h"

namespace clementinerill {
namespace {

bool IsActive(const Attempt& attempt) noexcept {
  return attempt.result_ == AttemptResult::kRunning &&
         !attempt.cancel_requested_;
}

int CountActive(const Part& part) noexcept {
  return static_cast<int>(
      std::count_if(part.attempts_.begin(), part.attempts_.end(), IsActive));
}

// The latest start time of the active attempts.
Instant LatestActiveStart(const Part& part) noexcept {
  Instant latest = Instant::min();
  for (const Attempt& attempt : part.attempts_) {
    if (IsActive(attempt)) {
      latest = std::max(latest, attempt.started_);
    }
  }
  return latest;
}

Instant FinishBy(const QueryState& query, const QueryPolicy& policy) noexcept {
  return query.deadline_ - policy.finish_margin_;
}

bool CanAnswerInTime(const QueryState& query,
                     const QueryPolicy& policy,
                     Instant now) noexcept {
  return now + policy.expected_latency_ <= FinishBy(query, policy);
}

// A non-idempotent request is sent again only if it is certain that no earlier
// attempt ran.
bool MayRepeat(const QueryState& query, const Part& part) noexcept {
  return IsIdempotent(query.kind_) ||
         std::all_of(part.attempts_.begin(), part.attempts_.end(),
                     [](const Attempt& a) { return IsNotRun(a.result_); });
}

bool HasAttemptsLeft(const QueryPolicy& policy, const Part& part) noexcept {
  return static_cast<int>(part.attempts_.size()) <
         policy.max_attempts_per_part_;
}

std::optional<AttemptKind> DueAttempt(const QueryState& query,
                                      const QueryPolicy& policy,
                                      const Part& part,
                                      Instant now) noexcept {
  if (part.answer_ || part.no_candidate_ || now < part.not_before_) {
    return std::nullopt;
  }
  if (part.attempts_.empty()) {
    return AttemptKind::kPrimary;
  }
  if (!HasAttemptsLeft(policy, part) || !MayRepeat(query, part) ||
      !CanAnswerInTime(query, policy, now)) {
    return std::nullopt;
  }
  const int active = CountActive(part);
  if (active == 0) {
    return AttemptKind::kRetry;
  }
  const bool slow = now >= LatestActiveStart(part) + policy.hedge_delay_;
  if (active == 1 && slow) {
    return AttemptKind::kHedge;
  }
  return std::nullopt;
}

// Whether the part is answered, or has no active attempt and can start no
// other one.
bool IsSettled(const QueryState& query,
               const QueryPolicy& policy,
               const Part& part,
               Instant now) noexcept {
  if (part.answer_) {
    return true;
  }
  if (CountActive(part) > 0) {
    return false;
  }
  if (part.no_candidate_) {
    return true;
  }
  if (part.attempts_.empty()) {
    return false;
  }
  return !HasAttemptsLeft(policy, part) || !MayRepeat(query, part) ||
         !CanAnswerInTime(query, policy, now);
}

bool NeedsRestart(const QueryState& query,
                  const QueryPolicy& policy,
                  Instant now) noexcept {
  const bool snapshot_unavailable =
      std::any_of(query.parts_.begin(), query.parts_.end(),
                  [](const Part& p) { return p.no_candidate_ && !p.answer_; });
  return snapshot_unavailable && query.snapshot_ && !query.restart_refused_ &&
         query.restarts_ < policy.max_restarts_ &&
         CanAnswerInTime(query, policy, now);
}

bool IsFinished(const QueryState& query,
                const QueryPolicy& policy,
                Instant now) noexcept {
  if (query.cancelled_ || now >= FinishBy(query, policy)) {
    return true;
  }
  return std::all_of(
      query.parts_.begin(), query.parts_.end(),
      [&](const Part& part) { return IsSettled(query, policy, part, now); });
}

// Cancels attempts whose results are no longer needed: those of answered parts,
// or all of them if the query is finished.
void AddCancellations(const QueryState& query,
                      bool finished,
                      std::vector<QueryAction>& actions) {
  for (size_t p = 0; p < query.parts_.size(); ++p) {
    const Part& part = query.parts_[p];
    if (!finished && !part.answer_) {
      continue;
    }
    for (size_t a = 0; a < part.attempts_.size(); ++a) {
      if (IsActive(part.attempts_[a])) {
        actions.push_back(
            {QueryActionKind::kCancelAttempt, p, a, part.attempts_[a].kind_});
      }
    }
  }
}

Reason ReasonOf(AttemptResult result) noexcept {
  switch (result) {
    case AttemptResult::kShed:
      return Reason::kUpstreamShed;
    case AttemptResult::kSnapshotGone:
      return Reason::kNoSnapshot;
    case AttemptResult::kNotSent:
      return Reason::kUpstreamUnreachable;
    case AttemptResult::kBroken:
      return Reason::kConnectionBroken;
    case AttemptResult::kRunning:
    case AttemptResult::kTimedOut:
    case AttemptResult::kCancelled:
      return Reason::kDeadlinePassed;
    case AttemptResult::kMalformed:
    case AttemptResult::kUpstreamError:
      return Reason::kUpstreamFailed;
    case AttemptResult::kAnswered:
      return Reason::kNone;
  }
  return Reason::kNone;
}

Reason ReasonOf(const Part& part) noexcept {
  for (const Attempt& attempt : part.attempts_) {
    if (!IsNotRun(attempt.result_)) {
      return ReasonOf(attempt.result_);
    }
  }
  if (part.reason_ != Reason::kNone) {
    return part.reason_;
  }
  return part.attempts_.empty() ? Reason::kDeadlinePassed
                                : ReasonOf(part.attempts_.back().result_);
}

Reason ReasonOf(const QueryState& query) noexcept {
  if (query.cancelled_) {
    return Reason::kCallerDisconnected;
  }
  for (const Part& part : query.parts_) {
    if (!part.answer_) {
      return ReasonOf(part);
    }
  }
  return Reason::kNone;
}

bool MayHaveRun(const QueryState& query) noexcept {
  if (query.may_have_run_) {
    return true;
  }
  for (const Part& part : query.parts_) {
    for (const Attempt& attempt : part.attempts_) {
      if (!IsNotRun(attempt.result_)) {
        return true;
      }
    }
  }
  return false;
}

void SetOutcome(const QueryState& query,
                bool any_answered,
                bool is_complete,
                QueryAnswer& answer) noexcept {
  if (is_complete) {
    answer.outcome_ = Outcome::kComplete;
    answer.reason_ = Reason::kNone;
    return;
  }
  answer.reason_ = ReasonOf(query);
  if (any_answered) {
    answer.outcome_ = Outcome::kPartial;
  } else {
    answer.outcome_ = MayHaveRun(query) ? Outcome::kUnknown : Outcome::kRefused;
  }
}

void MergeParts(const QueryState& query, QueryAnswer& answer) {
  Coverage coverage;
  std::vector<const std::vector<Hit>*> lists;
  for (const Part& part : query.parts_) {
    if (part.answer_ && part.answer_->range_) {
      coverage.Add(*part.answer_->range_);
      lists.push_back(&part.answer_->hits_);
    }
  }
  answer.hits_ = MergeHits(lists, query.top_);
  answer.coverage_ = coverage.Fraction();
  answer.missing_ = coverage.Missing();
  SetOutcome(query, !lists.empty(), coverage.IsFull(), answer);
}

void CopySingleAnswer(const QueryState& query, QueryAnswer& answer) {
  const Part& part = query.parts_.front();
  const bool answered = part.answer_.has_value();
  if (answered) {
    answer.body_ = part.answer_->body_;
    answer.snapshot_ = part.answer_->snapshot_;
  }
  answer.coverage_ = answered ? 1 : 0;
  SetOutcome(query, false, answered, answer);
}

}  // namespace

std::vector<QueryAction> NextActions(const QueryState& query,
                                     const QueryPolicy& policy,
                                     Instant now) {
  std::vector<QueryAction> actions;
  if (NeedsRestart(query, policy, now) && !query.cancelled_) {
    AddCancellations(query, /*finished=*/true, actions);
    actions.push_back({QueryActionKind::kRestart});
    return actions;
  }
  if (IsFinished(query, policy, now)) {
    AddCancellations(query, /*finished=*/true, actions);
    actions.push_back({QueryActionKind::kFinish});
    return actions;
  }
  AddCancellations(query, /*finished=*/false, actions);
  for (size_t p = 0; p < query.parts_.size(); ++p) {
    if (const auto kind = DueAttempt(query, policy, query.parts_[p], now)) {
      actions.push_back({QueryActionKind::kStartAttempt, p, 0, *kind});
    }
  }
  return actions;
}

Instant NextWake(const QueryState& query,
                 const QueryPolicy& policy,
                 Instant now) noexcept {
  Instant wake = FinishBy(query, policy);
  for (const Part& part : query.parts_) {
    if (part.answer_ || part.no_candidate_) {
      continue;
    }
    if (part.not_before_ > now) {
      wake = std::min(wake, part.not_before_);
    }
    const Instant hedge_at = LatestActiveStart(part) + policy.hedge_delay_;
    if (CountActive(part) == 1 && hedge_at > now) {
      wake = std::min(wake, std::max(hedge_at, part.not_before_));
    }
  }
  return wake;
}

size_t RecordStart(QueryState& query,
                   size_t part,
                   AttemptKind kind,
                   std::string upstream,
                   Instant now) {
  CR_INVARIANT(part < query.parts_.size());
  CR_INVARIANT(MayRepeat(query, query.parts_[part]));
  Attempt attempt;
  attempt.kind_ = kind;
  attempt.upstream_ = std::move(upstream);
  attempt.started_ = now;
  query.parts_[part].attempts_.push_back(std::move(attempt));
  query.parts_[part].reason_ = Reason::kNone;
  return query.parts_[part].attempts_.size() - 1;
}

void RecordDecline(QueryState& query,
                   size_t part,
                   Reason reason,
                   Instant retry_at) {
  query.parts_[part].reason_ = reason;
  query.parts_[part].not_before_ = retry_at;
}

void RecordNoCandidate(QueryState& query, size_t part, Reason reason) {
  query.parts_[part].reason_ = reason;
  query.parts_[part].no_candidate_ = true;
}

void RecordResult(QueryState& query,
                  size_t part,
                  size_t attempt,
                  AttemptResult result,
                  std::optional<PartAnswer> answer,
                  Instant now) {
  Part& target = query.parts_[part];
  Attempt& ended = target.attempts_[attempt];
  CR_INVARIANT(ended.result_ == AttemptResult::kRunning);
  ended.ended_ = now;
  ended.result_ = result;
  if (result != AttemptResult::kAnswered || target.answer_) {
    return;
  }
  if (!answer) {
    ended.result_ = AttemptResult::kMalformed;
    return;
  }
  const bool other_snapshot =
      query.snapshot_ && !(answer->snapshot_ == *query.snapshot_);
  if (other_snapshot) {
    ended.result_ = AttemptResult::kSnapshotGone;
    query.may_have_run_ = true;
    return;
  }
  target.answer_ = std::move(answer);
}

void RecordCancel(QueryState& query, size_t part, size_t attempt) noexcept {
  query.parts_[part].attempts_[attempt].cancel_requested_ = true;
}

void Restart(QueryState& query, const Snapshot& snapshot) {
  query.may_have_run_ = MayHaveRun(query);
  query.snapshot_ = snapshot;
  ++query.restarts_;
  for (Part& part : query.parts_) {
    Part fresh;
    fresh.service_ = part.service_;
    part = std::move(fresh);
  }
}

QueryAnswer BuildAnswer(const QueryState& query) {
  QueryAnswer answer;
  answer.request_id_ = query.request_id_;
  answer.snapshot_ = query.snapshot_;
  if (FansOut(query.kind_)) {
    MergeParts(query, answer);
  } else {
    CopySingleAnswer(query, answer);
  }
  return answer;
}

}  // namespace clementinerill
