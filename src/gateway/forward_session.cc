#include "gateway/forward_session.h"

#include <utility>

#include "logging/log.h"
#include "traffic/aggregator_health.h"

namespace clementinerill::gateway {
namespace {

using traffic::ForwardOutcome;
using traffic::QueryOutcome;

QueryOutcome OutcomeOf(const http::HttpResponse& response,
                       const WireNames& names) {
  switch (response.status_) {
    case 200:
      return http::FindHeader(response.headers_, names.missing_parts_) == "0"
                 ? QueryOutcome::kComplete
                 : QueryOutcome::kPartial;
    case 503:
      return QueryOutcome::kRefused;
    case 504:
      return QueryOutcome::kTimedOut;
    default:
      return QueryOutcome::kFailed;
  }
}

}  // namespace

ForwardSession::ForwardSession(SessionContext& context,
                               ForwardedQuery query,
                               AggregatorPool::Lease lease,
                               GatherHere gather_here)
    : context_(context),
      query_(std::move(query)),
      caller_(query_.caller_),
      exchange_(std::make_shared<ForwardExchange>(context.loop_,
                                                  context.aggregators_,
                                                  context.metrics_,
                                                  std::move(lease))),
      gather_here_(std::move(gather_here)) {}

void ForwardSession::Start() {
  const Instant now = http::EventLoop::Now();
  const std::weak_ptr<ForwardSession> weak = shared_from_this();
  caller_->OnDisconnect([weak] {
    if (const auto session = weak.lock()) {
      session->Contain([&] { session->OnCallerDisconnected(); });
    }
  });
  Contain([this, now] { Send(now); });
}

void ForwardSession::Send(Instant now) {
  const auto self = shared_from_this();
  ForwardHeader header;
  header.configuration_version_ = query_.view_->configuration_->version_;
  header.elapsed_ =
      std::chrono::milliseconds(ToMilliseconds(now - query_.started_));
  header.organisation_ = query_.organisation_;
  exchange_->Start(
      MakeForwardedRequest(query_.request_, header, context_.names_,
                           query_.deadline_ - now),
      now + traffic::AcknowledgeTimeout(*query_.route_), query_.deadline_,
      [self](ForwardResult result) {
        self->Contain([&] { self->OnResult(std::move(result)); });
      });
}

// The query may have run. `Respond` does nothing if the caller has its
// response.
void ForwardSession::OnException() {
  is_open_ = false;
  context_.loop_.Guard().Run(http::HandlerKind::kQuery,
                             [this] { exchange_->Cancel(); });
  caller_->Respond({502, {}, {}, true}, context_.draining_);
}

void ForwardSession::OnResult(ForwardResult result) {
  if (!is_open_) {
    return;
  }
  is_open_ = false;
  LogEnd(result.outcome_, http::EventLoop::Now());
  Count(result);
  switch (result.outcome_) {
    case ForwardOutcome::kAnswered:
      Respond(std::move(result.response_));
      return;
    case ForwardOutcome::kRefused:
    case ForwardOutcome::kNotSent:
      gather_here_(std::move(query_), false);
      return;
    case ForwardOutcome::kUnacknowledged:
      gather_here_(std::move(query_), true);
      return;
    case ForwardOutcome::kTimedOut:
      Fail(504);
      return;
    case ForwardOutcome::kBroken:
    case ForwardOutcome::kCancelled:
      Fail(502);
      return;
  }
}

void ForwardSession::OnCallerDisconnected() {
  if (!is_open_) {
    return;
  }
  is_open_ = false;
  Count({ForwardOutcome::kCancelled, {}});
  exchange_->Cancel();
  context_.metrics_.queries_.Increment(QueryOutcome::kDisconnected);
  LogEnd(ForwardOutcome::kCancelled, http::EventLoop::Now());
}

void ForwardSession::Abort() {
  if (is_open_) {
    is_open_ = false;
    Count({ForwardOutcome::kTimedOut, {}});
    exchange_->Cancel();
    LogEnd(ForwardOutcome::kTimedOut, http::EventLoop::Now());
    Fail(504);
  }
}

void ForwardSession::Count(const ForwardResult& result) {
  const auto started = exchange_->StartedAt();
  // The aggregator answers 503 if no replica has run the query.
  const bool is_refused = result.outcome_ == ForwardOutcome::kAnswered &&
                          result.response_.status_ == 503;
  if (started && !is_refused) {
    context_.usage_.Count(query_.organisation_, *started);
  }
}

void ForwardSession::Fail(int status) {
  http::HttpResponse response;
  response.status_ = status;
  Respond(std::move(response));
}

void ForwardSession::Respond(http::HttpResponse response) {
  response.headers_ = http::EndToEndHeaders(response.headers_);
  context_.metrics_.queries_.Increment(OutcomeOf(response, context_.names_));
  context_.metrics_.latency_.Record(http::EventLoop::Now() - query_.started_);
  caller_->Respond(response, context_.draining_);
}

void ForwardSession::LogEnd(ForwardOutcome outcome, Instant now) const {
  static RateLimitedLogger answered;
  static RateLimitedLogger failed;
  const bool is_answered = outcome == ForwardOutcome::kAnswered;
  RateLimitedLogger& lines = is_answered ? answered : failed;
  lines.Log(now, is_answered ? LogLevel::kInfo : LogLevel::kWarning, "query",
            "forwarded",
            {{"id", query_.id_},
             {"route", query_.route_->name_},
             {"aggregator", exchange_->Aggregator()},
             {"outcome", NameOf(traffic::kForwardOutcomeNames, outcome)},
             {"took_ms", now - query_.started_},
             {"version", query_.view_->configuration_->version_}});
}

}  // namespace clementinerill::gateway
