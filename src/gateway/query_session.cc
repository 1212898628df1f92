#include "gateway/query_session.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

#include "base/parse_number.h"
#include "base/release_memory.h"
#include "gateway/caller_access.h"
#include "gateway/caller_response.h"
#include "gateway/query_log.h"
#include "gateway/replica_exchange.h"
#include "gateway/replica_reports.h"
#include "http/http_message.h"
#include "logging/log.h"
#include "traffic/aggregator_health.h"
#include "traffic/confirm_send.h"

namespace clementinerill::gateway {
namespace {

using http::ExchangeOutcome;
using traffic::AttemptOutcome;
using traffic::QueryOutcome;

// Maximum idle time of a connection reused for a non-idempotent request; the
// replica may have dropped a connection that was idle for longer.
constexpr Duration kMaxIdleForNonIdempotent = std::chrono::milliseconds(1000);

// An aggregator answers a delegation this long before this daemon has to
// answer, which covers the way back and the merge.
constexpr Duration kDelegationMargin = std::chrono::milliseconds(4);

// Aggregators of a failure domain that a delegation is sent to until one does
// not refuse it.
constexpr int kMaxDelegationTries = 2;

}  // namespace

QuerySession::QuerySession(SessionContext& context,
                           std::shared_ptr<http::ServerConnection> caller,
                           http::HttpRequest request,
                           traffic::Query query)
    : context_(context),
      caller_(std::move(caller)),
      request_(std::move(request)),
      query_(std::move(query)) {
  request_.headers_ = http::EndToEndHeaders(request_.headers_);
  RemoveAccessHeaders(context_.fleet_, context_.names_, request_.headers_);
}

void QuerySession::Start() {
  const std::weak_ptr<QuerySession> weak = shared_from_this();
  caller_->OnDisconnect([weak] {
    if (const auto self = weak.lock()) {
      self->Contain([&] { self->OnCallerDisconnected(); });
    }
  });
  Contain([this] {
    StartDelegations(http::EventLoop::Now());
    Step();
  });
}

// Its response is true whatever the exception has left halfway: a request of
// which a byte may have been sent may have run.
void QuerySession::OnException() {
  const Instant now = http::EventLoop::Now();
  const http::HandlerGuard& guard = context_.loop_.Guard();
  guard.Run(http::HandlerKind::kQuery, [this, now] { EndAttempts(now); });
  if (is_answered_) {
    return;
  }
  const auto respond = [this, now] {
    ReleaseResponses();
    query_.outcome_ = traffic::MayHaveRun(query_) ? QueryOutcome::kFailed
                                                  : QueryOutcome::kRefused;
    Respond(now);
  };
  if (!guard.TryRun(http::HandlerKind::kQuery, respond) && !is_answered_) {
    caller_->Close();
  }
}

// Attempts that are open without a connection have not been sent.
void QuerySession::EndAttempts(Instant now) {
  if (timer_) {
    context_.loop_.Timers().Cancel(*timer_);
    timer_.reset();
  }
  CancelDelegations();
  for (const RunningAttempt& attempt : running_) {
    CloseAttempt(attempt,
                 attempt.connection_->HasSent() ? AttemptOutcome::kAbandoned
                                                : AttemptOutcome::kWithdrawn,
                 now);
  }
  running_.clear();
  for (size_t part = 0; part < query_.parts_.size(); ++part) {
    const size_t attempts = query_.parts_[part].attempts_.size();
    for (size_t attempt = 0; attempt < attempts; ++attempt) {
      traffic::RecordAttemptOutcome(context_.fleet_, query_, {part, attempt},
                                    AttemptOutcome::kWithdrawn, {}, now);
    }
  }
}

void QuerySession::StartDelegations(Instant now) {
  for (size_t i = 0; i < query_.delegations_.size(); ++i) {
    StartDelegation(i, kMaxDelegationTries, now);
  }
}

size_t QuerySession::PartsInProgress() const noexcept {
  if (!IsOpen()) {
    return 0;
  }
  return static_cast<size_t>(
      std::count_if(query_.parts_.begin(), query_.parts_.end(),
                    [](const traffic::QueryPart& part) {
                      return part.state_ == traffic::PartState::kPending &&
                             !part.is_delegated_;
                    }));
}

void QuerySession::StartDelegation(size_t index, int tries_left, Instant now) {
  RecheckAccess(context_, query_);
  const traffic::Delegation& delegation = query_.delegations_[index];
  const auto& remote = context_.fleet_.aggregation_.remote_;
  const auto aggregators = remote.find(delegation.failure_domain_);
  auto lease =
      query_.access_refusal_ || aggregators == remote.end() || tries_left == 0
          ? std::nullopt
          : context_.aggregators_.Acquire(aggregators->second, now);
  if (!lease) {
    traffic::ReturnDelegation(query_, index, false, now);
    return;
  }
  ForwardHeader header;
  header.configuration_version_ = query_.view_->configuration_->version_;
  header.elapsed_ = std::chrono::milliseconds(
      ToMilliseconds(now - query_.started_ + kDelegationMargin));
  header.subset_ = delegation.subset_;
  header.organisation_ = query_.organisation_;
  const auto exchange =
      std::make_shared<ForwardExchange>(context_.loop_, context_.aggregators_,
                                        context_.metrics_, std::move(*lease));
  delegated_.push_back(exchange);
  const auto self = shared_from_this();
  exchange->Start(
      MakeForwardedRequest(request_, header, context_.names_,
                           traffic::RemainingTime(query_, now)),
      now + traffic::AcknowledgeTimeout(*query_.route_), query_.deadline_,
      [self, index, tries_left](ForwardResult result) {
        self->Contain([&] {
          self->OnDelegation(index, tries_left - 1, std::move(result));
        });
      });
}

void QuerySession::OnDelegation(size_t index,
                                int tries_left,
                                ForwardResult result) {
  if (!IsOpen()) {
    return;
  }
  const Instant now = http::EventLoop::Now();
  switch (result.outcome_) {
    case traffic::ForwardOutcome::kAnswered:
      RecordDelegation(index, std::move(result));
      break;
    case traffic::ForwardOutcome::kRefused:
    case traffic::ForwardOutcome::kNotSent:
      StartDelegation(index, tries_left, now);
      break;
    case traffic::ForwardOutcome::kUnacknowledged:
      traffic::ReturnDelegation(query_, index, true, now);
      break;
    case traffic::ForwardOutcome::kBroken:
    case traffic::ForwardOutcome::kTimedOut:
    case traffic::ForwardOutcome::kCancelled:
      traffic::FailDelegation(query_, index);
      break;
  }
  Step();
}

void QuerySession::RecordDelegation(size_t index, ForwardResult result) {
  http::HttpResponse& response = result.response_;
  const Instant now = http::EventLoop::Now();
  if (response.status_ == 503) {
    traffic::ReturnDelegation(query_, index, false, now);
    return;
  }
  const size_t parts = query_.delegations_[index].subset_.parts_.size();
  const auto missing = ParseNumber(
      http::FindHeader(response.headers_, context_.names_.missing_parts_));
  std::string signatures(
      http::FindHeader(response.headers_, context_.names_.part_signatures_));
  const size_t answered =
      signatures.empty() ? 0
                         : 1 + static_cast<size_t>(std::count(
                                   signatures.begin(), signatures.end(), ','));
  if (response.status_ != 200 || !missing || *missing + answered != parts) {
    traffic::FailDelegation(query_, index);
    return;
  }
  traffic::RecordDelegation(query_, index, *missing, std::move(signatures),
                            std::move(response.body_));
  query_.delegations_[index].hold_ = std::move(result.hold_);
}

void QuerySession::CancelDelegations() {
  for (const auto& exchange : std::exchange(delegated_, {})) {
    exchange->Cancel();
  }
}

void QuerySession::Step() {
  const Instant now = http::EventLoop::Now();
  if (IsOpen()) {
    if (traffic::IsDue(query_, now)) {
      CloseUnsentAttempts(AttemptOutcome::kConnectTimeout, now);
    }
    RecheckAccess(context_, query_);
    for (const auto& action : traffic::Advance(context_.fleet_, query_, now)) {
      Send(action, now);
    }
    if (!IsOpen()) {
      Respond(now);
    }
  }
  ArmTimer();
}

void QuerySession::ArmTimer() {
  if (timer_) {
    context_.loop_.Timers().Cancel(*timer_);
    timer_.reset();
  }
  if (!IsOpen() && running_.empty()) {
    return;
  }
  const Instant at = IsOpen() ? query_.wake_at_ : query_.deadline_;
  const auto self = shared_from_this();
  timer_ = context_.loop_.Timers().Add(at, [self] {
    self->timer_.reset();
    self->Contain([&] { self->OnTimer(); });
  });
}

void QuerySession::OnTimer() {
  const Instant now = http::EventLoop::Now();
  if (now >= query_.deadline_) {
    CloseUnsentAttempts(AttemptOutcome::kConnectTimeout, now);
    CloseRunningAttempts(AttemptOutcome::kAbandoned, now);
  }
  Step();
}

void QuerySession::Send(traffic::SendAction action, Instant now) {
  const traffic::QueryPart& part = query_.parts_[action.part_];
  const traffic::Attempt& attempt = part.attempts_[action.attempt_];
  if (attempt.is_hedge_) {
    context_.metrics_.hedges_.Increment();
  } else if (action.attempt_ > 0) {
    context_.metrics_.retries_.Increment(
        part.attempts_[action.attempt_ - 1].outcome_);
  }
  const bool idempotent =
      query_.route_->kind_ == traffic::RequestKind::kIdempotent;
  const auto connection = context_.pool_.Acquire(
      attempt.replica_, idempotent ? Duration::max() : kMaxIdleForNonIdempotent,
      now);
  running_.push_back({action, connection});
  const auto self = shared_from_this();
  http::ExchangeRequest exchange =
      MakeReplicaExchange(request_, query_, context_.names_);
  exchange.make_bytes_ = [self, action] {
    return self->RequestFor(action, http::EventLoop::Now());
  };
  const std::weak_ptr<QuerySession> weak = self;
  exchange.on_other_response_ =
      [weak, replica = attempt.replica_](const http::HttpResponse& response) {
        if (const auto session = weak.lock()) {
          RecordReportedDeparture(session->context_, *replica, response,
                                  http::EventLoop::Now());
        }
      };
  connection->Start(
      std::move(exchange), [self, action](http::ExchangeResult result) {
        self->Contain([&] { self->OnExchange(action, std::move(result)); });
      });
}

std::optional<std::string> QuerySession::RequestFor(traffic::SendAction action,
                                                    Instant now) {
  if (IsOpen()) {
    RecheckAccess(context_, query_);
  }
  if (!traffic::ConfirmSend(context_.fleet_, query_, action, now)) {
    return std::nullopt;
  }
  const traffic::Attempt& attempt =
      query_.parts_[action.part_].attempts_[action.attempt_];
  return MakeReplicaRequest(request_, query_, attempt.replica_->entry_,
                            context_.names_, now);
}

void QuerySession::OnExchange(traffic::SendAction action,
                              http::ExchangeResult result) {
  const Instant now = http::EventLoop::Now();
  const auto self = shared_from_this();
  const auto running = std::find_if(
      running_.begin(), running_.end(), [&action](const RunningAttempt& r) {
        return r.action_.part_ == action.part_ &&
               r.action_.attempt_ == action.attempt_;
      });
  if (running == running_.end()) {
    return;
  }
  const auto connection = running->connection_;
  const auto replica =
      query_.parts_[action.part_].attempts_[action.attempt_].replica_;
  const AttemptOutcome outcome =
      ClassifyExchange(result, *query_.route_, context_.names_);
  context_.metrics_.attempts_.Increment(outcome);
  if (result.outcome_ != ExchangeOutcome::kResponse) {
    RecordReportedDeparture(context_, *replica, result.response_, now);
  } else if (outcome != AttemptOutcome::kMisdirected) {
    RecordReplicaReport(context_, *replica, result.response_, now);
  }
  RecordCutOff(context_, *replica, result, now);
  const auto keep_alive =
      ParseKeepAlive(http::FindHeader(result.response_.headers_, "Keep-Alive"));
  traffic::ReplicaResponse response;
  response.status_ = result.response_.status_;
  response.signature_ = std::string(
      http::FindHeader(result.response_.headers_, context_.names_.signature_));
  response.headers_ = http::EndToEndHeaders(result.response_.headers_);
  response.body_ = std::move(result.response_.body_);
  response.hold_ = std::move(result.hold_);
  traffic::RecordAttemptOutcome(context_.fleet_, query_, action, outcome,
                                std::move(response), now);
  // Not before: without its outcome the attempt would count as not sent after
  // an exception.
  running_.erase(running);
  context_.pool_.Release(replica, connection, keep_alive, now);
  Step();
}

void QuerySession::CloseRunningAttempts(AttemptOutcome outcome, Instant now) {
  for (const RunningAttempt& attempt : running_) {
    CloseAttempt(attempt, outcome, now);
  }
  running_.clear();
}

void QuerySession::CloseUnsentAttempts(AttemptOutcome outcome, Instant now) {
  const auto unsent = std::stable_partition(
      running_.begin(), running_.end(), [](const RunningAttempt& attempt) {
        return attempt.connection_->HasSent();
      });
  const std::vector<RunningAttempt> closed(unsent, running_.end());
  running_.erase(unsent, running_.end());
  for (const RunningAttempt& attempt : closed) {
    CloseAttempt(attempt, outcome, now);
  }
}

void QuerySession::CloseAttempt(const RunningAttempt& attempt,
                                AttemptOutcome outcome,
                                Instant now) {
  context_.metrics_.attempts_.Increment(outcome);
  attempt.connection_->Close();
  traffic::RecordAttemptOutcome(context_.fleet_, query_, attempt.action_,
                                outcome, {}, now);
}

void QuerySession::OnCallerDisconnected() {
  const Instant now = http::EventLoop::Now();
  if (!IsOpen()) {
    return;
  }
  query_.outcome_ = QueryOutcome::kDisconnected;
  is_answered_ = true;
  CancelDelegations();
  CloseUnsentAttempts(AttemptOutcome::kWithdrawn, now);
  RecordEnd(0, now);
  context_.metrics_.queries_.Increment(QueryOutcome::kDisconnected);
  // A non-idempotent request that was sent is not cancelled: that would only
  // leave it unknown whether it took effect.
  if (query_.route_->kind_ == traffic::RequestKind::kIdempotent) {
    CloseRunningAttempts(AttemptOutcome::kCancelled, now);
  }
  ArmTimer();
}

void QuerySession::Abort() {
  if (!IsOpen()) {
    return;
  }
  Contain([this] {
    const Instant now = http::EventLoop::Now();
    CloseUnsentAttempts(AttemptOutcome::kWithdrawn, now);
    query_.outcome_ = traffic::MayHaveRun(query_) ? QueryOutcome::kTimedOut
                                                  : QueryOutcome::kRefused;
    Respond(now);
  });
}

void QuerySession::Respond(Instant now) {
  CancelDelegations();
  const auto response = MakeCallerResponse(query_, context_.names_, now);
  is_answered_ = true;
  caller_->Respond(response, context_.draining_);
  context_.metrics_.queries_.Increment(query_.outcome_);
  CountUnansweredParts();
  context_.metrics_.latency_.Record(now - query_.started_);
  RecordEnd(response.status_, now);
  ReleaseResponses();
}

// Attempts may go on until the deadline and keep this session.
void QuerySession::ReleaseResponses() {
  for (traffic::QueryPart& part : query_.parts_) {
    // The assignment of an empty response would keep the memory of the body.
    static_cast<void>(std::exchange(part.response_, {}));
    static_cast<void>(std::exchange(part.failed_response_, {}));
  }
  for (traffic::Delegation& delegation : query_.delegations_) {
    ReleaseMemory(delegation.body_);
    delegation.hold_.Release();
  }
}

void QuerySession::CountUnansweredParts() {
  for (const traffic::QueryPart& part : query_.parts_) {
    if (part.state_ == traffic::PartState::kFailed) {
      context_.metrics_.failed_parts_.Increment(part.failure_reason_);
    } else if (part.state_ == traffic::PartState::kSkipped) {
      context_.metrics_.skipped_parts_.Increment();
    }
  }
}

void QuerySession::RecordEnd(int status, Instant now) const {
  CountEndedQuery(context_.usage_, query_);
  LogQueryEnd(query_, status, now);
}

}  // namespace clementinerill::gateway
