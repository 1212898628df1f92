#include "gateway/query_session.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

#include "base/parse_number.h"
#include "gateway/caller_answer.h"
#include "gateway/query_log.h"
#include "http/http_message.h"

namespace clementinerill::gateway {
namespace {

using http::ExchangeOutcome;
using traffic::AttemptOutcome;
using traffic::QueryOutcome;

// A non-idempotent request goes out on a connection that was used this
// recently, since a replica may have dropped an older one.
constexpr Duration kMostIdleForNonIdempotent = std::chrono::milliseconds(1000);

std::optional<traffic::ReportedLoad> ParseLoad(std::string_view text) {
  std::array<int, 3> numbers{};
  for (int& number : numbers) {
    const size_t comma = std::min(text.find(','), text.size());
    const auto value = ParseNumber(text.substr(0, comma));
    if (!value) {
      return std::nullopt;
    }
    number = static_cast<int>(*value);
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
  return traffic::ReportedLoad{numbers[0], numbers[1], numbers[2]};
}

// The idle timeout in a `Keep-Alive` field such as `timeout=5, max=100`.
std::optional<Duration> ParseKeepAlive(std::string_view text) {
  constexpr std::string_view kKey = "timeout=";
  const size_t at = text.find(kKey);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  text.remove_prefix(at + kKey.size());
  const auto seconds = ParseNumber(text.substr(0, text.find_first_of(", ;")));
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
      self->OnCallerLeft();
    }
  });
  Step();
}

void QuerySession::Step() {
  const Instant now = http::EventLoop::Now();
  if (IsOpen()) {
    for (const auto& action : traffic::Advance(context_.fleet_, query_, now)) {
      Send(action, now);
    }
    if (!IsOpen()) {
      Answer(now);
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
      self->AbandonOpen(AttemptOutcome::kAbandoned, now);
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
      attempt.replica_,
      idempotent ? Duration::max() : kMostIdleForNonIdempotent, now);
  running_.push_back({action, connection});
  const auto self = shared_from_this();
  connection->Start(MakeExchange(*attempt.replica_, now),
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
  const http::HttpResponse& answer = result.response_;
  const WireNames& names = context_.names_;
  if (answer.status_ == 421) {
    return AttemptOutcome::kMisdirected;
  }
  if (!http::FindHeader(answer.headers_, names.not_executed_).empty()) {
    return AttemptOutcome::kShed;
  }
  const bool success = answer.status_ < 300;
  if (success && http::FindHeader(answer.headers_, names.signature_).empty()) {
    return AttemptOutcome::kGarbled;
  }
  if (answer.status_ >= 500 || (IsFanOut(*query_.route_) && !success)) {
    return AttemptOutcome::kFailed;
  }
  return AttemptOutcome::kAnswered;
}

void QuerySession::Learn(traffic::ReplicaState& replica,
                         const http::HttpResponse& answer,
                         Instant now) const {
  const auto load = http::FindHeader(answer.headers_, context_.names_.load_);
  if (const auto parsed = ParseLoad(load)) {
    traffic::RecordLoad(replica, *parsed, now);
  }
  const auto cold =
      http::FindHeader(answer.headers_, context_.names_.warmup_remaining_);
  if (const auto milliseconds = ParseNumber(cold)) {
    replica.entry_.cold_until_ = now + std::chrono::milliseconds(*milliseconds);
  }
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
  Learn(*replica, result.response_, now);
  const auto keep_alive =
      ParseKeepAlive(http::FindHeader(result.response_.headers_, "Keep-Alive"));
  traffic::ReplicaResponse answer;
  answer.status_ = result.response_.status_;
  answer.signature_ = std::string(
      http::FindHeader(result.response_.headers_, context_.names_.signature_));
  answer.headers_ = http::EndToEndHeaders(result.response_.headers_);
  answer.body_ = std::move(result.response_.body_);
  traffic::RecordAttemptOutcome(context_.fleet_, query_, action, outcome,
                                std::move(answer), now);
  context_.pool_.Release(replica, connection, keep_alive, now);
  Step();
}

void QuerySession::AbandonOpen(AttemptOutcome outcome, Instant now) {
  std::vector<RunningAttempt> running;
  running.swap(running_);
  for (const RunningAttempt& attempt : running) {
    context_.metrics_.attempts_.Increment(outcome);
    attempt.connection_->Close();
    traffic::RecordAttemptOutcome(context_.fleet_, query_, attempt.action_,
                                  outcome, {}, now);
  }
}

void QuerySession::OnCallerLeft() {
  const Instant now = http::EventLoop::Now();
  if (!IsOpen()) {
    return;
  }
  query_.outcome_ = QueryOutcome::kDisconnected;
  LogEnd(0, now);
  context_.metrics_.queries_.Increment(QueryOutcome::kDisconnected);
  // A non-idempotent request runs to its end: cutting it off would only leave
  // its effect unknown.
  if (query_.route_->kind_ == traffic::RequestKind::kIdempotent) {
    AbandonOpen(AttemptOutcome::kCancelled, now);
  }
  ArmTimer();
}

void QuerySession::GiveUp() {
  if (!IsOpen()) {
    return;
  }
  const Instant now = http::EventLoop::Now();
  query_.outcome_ = traffic::MayHaveRun(query_) ? QueryOutcome::kTimedOut
                                                : QueryOutcome::kRefused;
  Answer(now);
}

void QuerySession::Answer(Instant now) {
  const auto answer = AnswerOf(query_, context_.names_, now);
  caller_->Respond(answer, context_.draining_);
  context_.metrics_.queries_.Increment(query_.outcome_);
  CountUnansweredParts();
  context_.metrics_.latency_.Record(now - query_.started_);
  LogEnd(answer.status_, now);
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

void QuerySession::LogEnd(int status, Instant now) const {
  LogQueryEnd(query_, status, now);
}

}  // namespace clementinerill::gateway
