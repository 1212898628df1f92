#include "gateway/query_session.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

#include "base/parse_number.h"
#include "base/release_memory.h"
#include "gateway/caller_response.h"
#include "gateway/query_log.h"
#include "gateway/replica_report_decoder.h"
#include "http/http_message.h"
#include "logging/log.h"
#include "traffic/aggregator_health.h"
#include "traffic/record_report.h"

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

// Cap of the idle timeout that a replica names; longer ones would overflow when
// added to a time.
constexpr std::chrono::seconds kMaxKeepAlive = std::chrono::hours(1);

// Parses the idle timeout of a `Keep-Alive` header such as
// `timeout=5, max=100`.
std::optional<Duration> ParseKeepAlive(std::string_view text) {
  constexpr std::string_view kKey = "timeout=";
  const size_t at = text.find(kKey);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  text.remove_prefix(at + kKey.size());
  const auto seconds = ParseNumberUpTo(
      text.substr(0, text.find_first_of(", ;")), kMaxKeepAlive.count());
  if (!seconds) {
    return std::nullopt;
  }
  return std::chrono::seconds(*seconds);
}

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
}

void QuerySession::Start() {
  const std::weak_ptr<QuerySession> weak = shared_from_this();
  caller_->OnDisconnect([weak] {
    if (const auto self = weak.lock()) {
      self->OnCallerDisconnected();
    }
  });
  StartDelegations(http::EventLoop::Now());
  Step();
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
  const traffic::Delegation& delegation = query_.delegations_[index];
  const auto& remote = context_.fleet_.aggregation_.remote_;
  const auto aggregators = remote.find(delegation.failure_domain_);
  auto lease = aggregators == remote.end() || tries_left == 0
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
        self->OnDelegation(index, tries_left - 1, std::move(result));
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
    const Instant now = http::EventLoop::Now();
    if (now >= self->query_.deadline_) {
      self->CloseRunningAttempts(AttemptOutcome::kAbandoned, now);
    }
    self->Step();
  });
}

http::ExchangeRequest QuerySession::MakeExchange(
    const traffic::ReplicaState& replica,
    Instant now) const {
  const WireNames& names = context_.names_;
  http::HttpRequest request;
  request.method_ = request_.method_;
  request.target_ = request_.target_;
  request.body_ = request_.body_;
  for (const auto& header : request_.headers_) {
    if (!http::IsSameHeaderName(header.first, names.timeout_) &&
        !http::IsSameHeaderName(header.first, names.expected_replica_)) {
      request.headers_.push_back(header);
    }
  }
  const auto left =
      std::max<int64_t>(1, ToMilliseconds(traffic::RemainingTime(query_, now)));
  request.headers_.emplace_back(names.timeout_, std::to_string(left));
  request.headers_.emplace_back(names.expected_replica_, replica.entry_.id_);
  http::ExchangeRequest exchange;
  exchange.bytes_ = http::ToBytes(request);
  exchange.is_head_ = request_.method_ == "HEAD";
  exchange.is_matching_response_ =
      [id = query_.id_, name = names.request_id_](const http::HttpResponse& a) {
        const auto echoed = http::FindHeader(a.headers_, name);
        return echoed.empty() || echoed == id;
      };
  return exchange;
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
  http::ExchangeRequest exchange = MakeExchange(*attempt.replica_, now);
  const std::weak_ptr<QuerySession> weak = self;
  exchange.on_other_response_ =
      [weak, replica = attempt.replica_](const http::HttpResponse& response) {
        if (const auto session = weak.lock()) {
          session->RecordDeparture(*replica, response, http::EventLoop::Now());
        }
      };
  connection->Start(std::move(exchange),
                    [self, action](http::ExchangeResult result) {
                      self->OnExchange(action, std::move(result));
                    });
}

AttemptOutcome QuerySession::Classify(
    const http::ExchangeResult& result) const {
  switch (result.outcome_) {
    case ExchangeOutcome::kNotSent:
      return AttemptOutcome::kNotSent;
    case ExchangeOutcome::kBroken:
      return AttemptOutcome::kBroken;
    case ExchangeOutcome::kGarbled:
      return AttemptOutcome::kGarbled;
    case ExchangeOutcome::kResponse:
      break;
  }
  const http::HttpResponse& response = result.response_;
  const WireNames& names = context_.names_;
  if (response.status_ == 421) {
    return AttemptOutcome::kMisdirected;
  }
  if (!http::FindHeader(response.headers_, names.not_executed_).empty()) {
    return AttemptOutcome::kShed;
  }
  const bool success = response.status_ < 300;
  if (success &&
      http::FindHeader(response.headers_, names.signature_).empty()) {
    return AttemptOutcome::kGarbled;
  }
  // Without the header, such a status would be an untrue guarantee.
  if (response.status_ >= 500 || ImpliesNotExecuted(response.status_) ||
      (IsFanOut(*query_.route_) && !success)) {
    return AttemptOutcome::kFailed;
  }
  return AttemptOutcome::kAnswered;
}

void QuerySession::RecordReport(traffic::ReplicaState& replica,
                                const http::HttpResponse& response,
                                Instant now) const {
  RecordDeparture(replica, response, now);
  const std::optional<double> previous = replica.rate_limit_;
  const Instant paused_until = replica.paused_until_;
  traffic::RecordReport(context_.fleet_, replica,
                        DecodeReplicaReport(response, context_.names_), now);
  LogPause(replica, paused_until, now);
  if (replica.rate_limit_ == previous) {
    return;
  }
  static RateLimitedLogger lines;
  lines.Log(now, LogLevel::kInfo, "replicas",
            replica.rate_limit_ ? "rate limit named" : "rate limit ended",
            {{"replica", replica.entry_.id_},
             {"service", replica.entry_.service_},
             {"requests_per_s", replica.rate_limit_.value_or(0)},
             {"previous", previous.value_or(0)}});
}

void QuerySession::LogPause(const traffic::ReplicaState& replica,
                            Instant previous,
                            Instant now) const {
  if (replica.paused_until_ == previous) {
    return;
  }
  context_.metrics_.pauses_.Increment();
  static RateLimitedLogger lines;
  lines.Log(now, LogLevel::kInfo, "replicas", "pause requested",
            {{"replica", replica.entry_.id_},
             {"service", replica.entry_.service_},
             {"pause_ms", Duration(replica.paused_until_ - now)}});
}

// Also of responses that are not used otherwise: a departure is true whatever
// becomes of the response that reports it.
void QuerySession::RecordDeparture(traffic::ReplicaState& replica,
                                   const http::HttpResponse& response,
                                   Instant now) const {
  // Another process at the address says nothing about this replica.
  if (response.status_ == 421 ||
      !ReportsDeparture(response.headers_, context_.names_) ||
      !traffic::RecordReportedDeparture(context_.fleet_, replica, now)) {
    return;
  }
  context_.metrics_.departures_.Increment();
  static RateLimitedLogger lines;
  lines.Log(now, LogLevel::kInfo, "replicas", "departure reported",
            {{"replica", replica.entry_.id_},
             {"service", replica.entry_.service_},
             {"listed_as_leaving", replica.entry_.leaving_since_.has_value()},
             {"status", response.status_}});
}

void QuerySession::LogCutOff(const traffic::ReplicaState& replica,
                             const http::ExchangeResult& result,
                             Instant now) const {
  if (result.cut_off_by_ == http::ResponseLimit::kNone) {
    return;
  }
  context_.metrics_.responses_cut_off_.Increment(result.cut_off_by_);
  static RateLimitedLogger lines;
  lines.Log(now, LogLevel::kWarning, "replicas", "response cut off",
            {{"replica", replica.entry_.id_},
             {"service", replica.entry_.service_},
             {"limit", NameOf(http::kResponseLimitNames, result.cut_off_by_)},
             {"buffered_bytes", replica.response_buffers_->held_bytes_}});
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
  const auto connection = std::move(running->connection_);
  running_.erase(running);
  const auto replica =
      query_.parts_[action.part_].attempts_[action.attempt_].replica_;
  const AttemptOutcome outcome = Classify(result);
  context_.metrics_.attempts_.Increment(outcome);
  if (result.outcome_ != ExchangeOutcome::kResponse) {
    RecordDeparture(*replica, result.response_, now);
  } else if (outcome != AttemptOutcome::kMisdirected) {
    RecordReport(*replica, result.response_, now);
  }
  LogCutOff(*replica, result, now);
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
  context_.pool_.Release(replica, connection, keep_alive, now);
  Step();
}

void QuerySession::CloseRunningAttempts(AttemptOutcome outcome, Instant now) {
  std::vector<RunningAttempt> running;
  running.swap(running_);
  for (const RunningAttempt& attempt : running) {
    context_.metrics_.attempts_.Increment(outcome);
    attempt.connection_->Close();
    traffic::RecordAttemptOutcome(context_.fleet_, query_, attempt.action_,
                                  outcome, {}, now);
  }
}

void QuerySession::OnCallerDisconnected() {
  const Instant now = http::EventLoop::Now();
  if (!IsOpen()) {
    return;
  }
  query_.outcome_ = QueryOutcome::kDisconnected;
  CancelDelegations();
  RecordEnd(0, now);
  context_.metrics_.queries_.Increment(QueryOutcome::kDisconnected);
  // A non-idempotent request is not cancelled: that would only leave it unknown
  // whether it took effect.
  if (query_.route_->kind_ == traffic::RequestKind::kIdempotent) {
    CloseRunningAttempts(AttemptOutcome::kCancelled, now);
  }
  ArmTimer();
}

void QuerySession::Abort() {
  if (!IsOpen()) {
    return;
  }
  const Instant now = http::EventLoop::Now();
  query_.outcome_ = traffic::MayHaveRun(query_) ? QueryOutcome::kTimedOut
                                                : QueryOutcome::kRefused;
  Respond(now);
}

void QuerySession::Respond(Instant now) {
  CancelDelegations();
  const auto response = MakeCallerResponse(query_, context_.names_, now);
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
