#include "daemon/query_run.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "base/hash.h"

namespace clementinerill {
namespace {

constexpr auto kCallerCheckInterval = std::chrono::milliseconds(20);
constexpr auto kSlotRetryInterval = std::chrono::milliseconds(5);
constexpr auto kBudgetRetryInterval = std::chrono::milliseconds(20);

Instant Now() noexcept {
  return std::chrono::steady_clock::now();
}

std::string MakeBody(const QueryRequest& request) {
  const nlohmann::json body = {{"route", request.route_.name_},
                               {"query", request.query_},
                               {"top", request.top_}};
  return body.dump();
}

// Whether the next attempt of a part adds load and so counts against the
// budgets. If no byte of the earlier attempts was sent, it replaces the primary
// attempt, which has been counted already.
bool IsCharged(const Part& part) noexcept {
  return part.attempts_.empty() ||
         std::any_of(part.attempts_.begin(), part.attempts_.end(),
                     [](const Attempt& attempt) {
                       return attempt.result_ != AttemptResult::kNotSent;
                     });
}

// All services of the pool for a fan-out query, else the one that the query
// hashes to.
std::vector<std::string> ServicesFor(const QueryRequest& request,
                                     const RoutingPool& pool) {
  std::vector<std::string> names;
  for (const RoutingService& service : pool.services_) {
    names.push_back(service.name_);
  }
  if (FansOut(request.route_.kind_) || names.empty()) {
    return names;
  }
  return {names[Hash64(request.query_) % names.size()]};
}

}  // namespace

QueryRun::QueryRun(const QueryRequest& request,
                   const QueryContext& context,
                   PoolAdmission& admission)
    : request_(request),
      context_(context),
      admission_(admission),
      body_(MakeBody(request)),
      mailbox_(std::make_shared<Mailbox>()) {}

bool QueryRun::Prepare() {
  const auto table = context_.dispatcher_.Table();
  const auto pool = table->pools_.find(request_.route_.pool_);
  if (pool == table->pools_.end()) {
    return false;
  }
  state_.request_id_ = request_.request_id_;
  state_.kind_ = request_.route_.kind_;
  state_.started_ = Now();
  state_.deadline_ = request_.deadline_;
  state_.top_ = request_.top_;
  for (std::string& name : ServicesFor(request_, pool->second)) {
    Part part;
    part.service_ = std::move(name);
    state_.parts_.push_back(std::move(part));
  }
  if (FansOut(state_.kind_)) {
    state_.snapshot_ = context_.dispatcher_.NewestSnapshot(request_.route_);
  }
  policy_ = context_.dispatcher_.PolicyFor(request_.route_.pool_);
  return !state_.parts_.empty();
}

QueryAnswer QueryRun::Run(const std::function<bool()>& caller_gone,
                          QueryTrace& trace) {
  if (!Prepare()) {
    return RefusedAnswer(request_.request_id_, Reason::kNoUpstream);
  }
  if (FansOut(state_.kind_) && !state_.snapshot_) {
    return RefusedAnswer(request_.request_id_, Reason::kNoSnapshot);
  }
  Instant next_check = Now() + kCallerCheckInterval;
  while (true) {
    const Instant now = Now();
    if (now >= next_check) {
      state_.cancelled_ = caller_gone();
      next_check = now + kCallerCheckInterval;
    }
    for (const QueryAction& action : NextActions(state_, policy_, now)) {
      if (Execute(action, now, trace)) {
        TraceAttempts(state_, trace);
        return BuildAnswer(state_);
      }
    }
    const Instant wake = std::min(next_check, NextWake(state_, policy_, Now()));
    for (AttemptEvent& event : mailbox_->Wait(wake)) {
      HandleAttemptEvent(std::move(event), Now());
    }
  }
}

bool QueryRun::Execute(const QueryAction& action,
                       Instant now,
                       QueryTrace& trace) {
  switch (action.kind_) {
    case QueryActionKind::kStartAttempt:
      StartAttempt(action, now);
      return false;
    case QueryActionKind::kCancelAttempt:
      CancelAttempt(action);
      return false;
    case QueryActionKind::kRestart:
      RestartQuery(trace);
      return false;
    case QueryActionKind::kFinish:
      return true;
  }
  return false;
}

void QueryRun::StartAttempt(const QueryAction& action, Instant now) {
  const std::string& service = state_.parts_[action.part_].service_;
  const bool charged = IsCharged(state_.parts_[action.part_]);
  if (charged && !admission_.MayStart(service, action.attempt_kind_)) {
    DeclineForBudget(action, now);
    return;
  }
  const Part& part = state_.parts_[action.part_];
  std::vector<std::string> tried;
  for (const Attempt& attempt : part.attempts_) {
    tried.push_back(attempt.upstream_);
  }
  auto grant = context_.dispatcher_.Grant(
      DispatchRequest{request_.route_, part.service_, tried, state_.snapshot_},
      now);
  if (!grant) {
    Decline(action, grant.error(), now);
    return;
  }
  if (charged) {
    admission_.RecordStart(service, action.attempt_kind_);
  }
  context_.metrics_.attempts_.Increment(action.attempt_kind_);
  const size_t index = RecordStart(state_, action.part_, action.attempt_kind_,
                                   grant->upstream_->upstream_.name_, now);
  auto running = std::make_shared<RunningAttempt>();
  running->grant_ = std::move(*grant);
  running->request_ = MakeExchange(action.part_, index);
  running->mailbox_ = mailbox_;
  running->generation_ = state_.restarts_;
  running->part_ = action.part_;
  running->attempt_ = index;
  running_[{action.part_, index}] = running;
  context_.runner_.Start(std::move(running));
}

void QueryRun::DeclineForBudget(const QueryAction& action, Instant now) {
  const bool is_hedge = action.attempt_kind_ == AttemptKind::kHedge;
  context_.metrics_.refusals_.Increment(is_hedge ? RefusalReason::kHedgeBudget
                                                 : RefusalReason::kRetryBudget);
  if (is_hedge) {
    RecordDecline(state_, action.part_, Reason::kNone,
                  now + kBudgetRetryInterval);
  } else {
    // Waiting for the retry budget could keep the caller waiting until its
    // deadline.
    RecordNoCandidate(state_, action.part_, Reason::kRetryBudget);
  }
}

void QueryRun::Decline(const QueryAction& action, Reason reason, Instant now) {
  const bool may_change =
      reason == Reason::kNoSlot || action.attempt_kind_ == AttemptKind::kHedge;
  if (!may_change) {
    RecordNoCandidate(state_, action.part_, reason);
    return;
  }
  RecordDecline(state_, action.part_, reason, now + kSlotRetryInterval);
  context_.dispatcher_.AddWaiter(state_.parts_[action.part_].service_,
                                 mailbox_);
}

ExchangeRequest QueryRun::MakeExchange(size_t part, size_t attempt) const {
  ExchangeRequest exchange;
  exchange.request_id_ = state_.request_id_;
  exchange.attempt_id_ = state_.request_id_ + "." +
                         std::to_string(state_.restarts_) + "." +
                         std::to_string(part) + "." + std::to_string(attempt);
  exchange.idempotency_key_ = request_.idempotency_key_;
  exchange.snapshot_ = state_.snapshot_;
  exchange.body_ = body_;
  exchange.deadline_ = state_.deadline_;
  exchange.fans_out_ = FansOut(state_.kind_);
  exchange.idempotent_ = IsIdempotent(state_.kind_);
  return exchange;
}

void QueryRun::CancelAttempt(const QueryAction& action) {
  RecordCancel(state_, action.part_, action.attempt_);
  const auto found = running_.find({action.part_, action.attempt_});
  if (found != running_.end()) {
    context_.runner_.Cancel(found->second);
    running_.erase(found);
  }
}

void QueryRun::RestartQuery(QueryTrace& trace) {
  const auto snapshot = context_.dispatcher_.NewestSnapshot(request_.route_);
  if (!snapshot || *snapshot == *state_.snapshot_) {
    state_.restart_refused_ = true;
    return;
  }
  running_.clear();
  TraceAttempts(state_, trace);
  Restart(state_, *snapshot);
}

void QueryRun::HandleAttemptEvent(AttemptEvent event, Instant now) {
  if (event.generation_ != state_.restarts_) {
    return;
  }
  running_.erase({event.part_, event.attempt_});
  context_.metrics_.attempt_results_.Increment(event.result_.result_);
  RecordResult(state_, event.part_, event.attempt_, event.result_.result_,
               std::move(event.result_.answer_), now);
}

}  // namespace clementinerill
