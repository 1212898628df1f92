#include "gateway/forward_exchange.h"

#include <algorithm>
#include <utility>

#include "logging/log.h"

namespace clementinerill::gateway {

using http::ExchangeOutcome;
using traffic::ForwardOutcome;

ForwardExchange::ForwardExchange(http::EventLoop& loop,
                                 AggregatorPool& pool,
                                 GatewayMetrics& metrics,
                                 AggregatorPool::Lease lease)
    : loop_(loop), pool_(pool), metrics_(metrics), lease_(std::move(lease)) {}

void ForwardExchange::Start(const http::HttpRequest& request,
                            Instant acknowledge_by,
                            Instant deadline,
                            Handler handler) {
  handler_ = std::move(handler);
  const auto self = shared_from_this();
  http::ExchangeRequest exchange;
  exchange.bytes_ = http::ToBytes(request);
  exchange.is_head_ = request.method_ == "HEAD";
  const std::weak_ptr<ForwardExchange> weak = self;
  exchange.on_other_response_ = [weak,
                                 deadline](const http::HttpResponse& response) {
    const auto exchange_of = weak.lock();
    if (exchange_of && response.status_ == kForwardStarted) {
      exchange_of->OnStarted(deadline);
    }
  };
  SetTimer(std::min(acknowledge_by, deadline));
  lease_.connection_->Start(
      std::move(exchange), [self](http::ExchangeResult result) {
        self->Contain([&] { self->OnResult(std::move(result)); });
      });
}

// The aggregator may have started the query.
void ForwardExchange::OnException() {
  is_open_ = false;
  if (timer_) {
    loop_.Timers().Cancel(*timer_);
    timer_.reset();
  }
  lease_.connection_->Close();
  if (const Handler handler = std::exchange(handler_, nullptr)) {
    handler({ForwardOutcome::kBroken, {}});
  }
}

void ForwardExchange::SetTimer(Instant at) {
  if (timer_) {
    loop_.Timers().Cancel(*timer_);
  }
  const auto self = shared_from_this();
  timer_ = loop_.Timers().Add(at, [self] {
    self->timer_.reset();
    self->Contain([&] { self->OnTimer(); });
  });
}

void ForwardExchange::OnStarted(Instant deadline) {
  if (is_open_ && !started_at_) {
    started_at_ = http::EventLoop::Now();
    SetTimer(deadline);
  }
}

void ForwardExchange::OnTimer() {
  if (is_open_) {
    lease_.connection_->Close();
    End(started_at_ ? ForwardOutcome::kTimedOut
                    : ForwardOutcome::kUnacknowledged);
  }
}

void ForwardExchange::OnResult(http::ExchangeResult result) {
  if (!is_open_) {
    return;
  }
  if (result.cut_off_by_ != http::ResponseLimit::kNone) {
    metrics_.responses_cut_off_.Increment(result.cut_off_by_);
    static RateLimitedLogger lines;
    lines.Log(
        http::EventLoop::Now(), LogLevel::kWarning, "aggregators",
        "response cut off",
        {{"aggregator", lease_.aggregator_},
         {"limit", NameOf(http::kResponseLimitNames, result.cut_off_by_)}});
  }
  switch (result.outcome_) {
    case ExchangeOutcome::kNotSent:
    case ExchangeOutcome::kWithdrawn:
      End(ForwardOutcome::kNotSent);
      return;
    case ExchangeOutcome::kBroken:
    case ExchangeOutcome::kGarbled:
      End(started_at_ ? ForwardOutcome::kBroken
                      : ForwardOutcome::kUnacknowledged);
      return;
    case ExchangeOutcome::kResponse:
      break;
  }
  if (result.response_.status_ == kForwardRefused) {
    End(ForwardOutcome::kRefused);
  } else {
    End({ForwardOutcome::kAnswered, std::move(result.response_),
         std::move(result.hold_)});
  }
}

void ForwardExchange::Cancel() {
  if (is_open_) {
    handler_ = nullptr;
    lease_.connection_->Close();
    End(ForwardOutcome::kCancelled);
  }
}

void ForwardExchange::End(ForwardResult result) {
  is_open_ = false;
  if (timer_) {
    loop_.Timers().Cancel(*timer_);
    timer_.reset();
  }
  pool_.Release(lease_, result.outcome_, http::EventLoop::Now());
  metrics_.forwards_.Increment(result.outcome_);
  const Handler handler = std::move(handler_);
  handler_ = nullptr;
  if (handler) {
    handler(std::move(result));
  }
}

http::HttpRequest MakeForwardedRequest(const http::HttpRequest& request,
                                       const ForwardHeader& header,
                                       const WireNames& names,
                                       Duration left) {
  http::HttpRequest forwarded = request;
  forwarded.headers_ = http::EndToEndHeaders(request.headers_);
  const auto is_replaced = [&names](const auto& field) {
    return http::IsSameHeaderName(field.first, names.timeout_) ||
           http::IsSameHeaderName(field.first, kForwardHeader);
  };
  forwarded.headers_.erase(
      std::remove_if(forwarded.headers_.begin(), forwarded.headers_.end(),
                     is_replaced),
      forwarded.headers_.end());
  forwarded.headers_.emplace_back(
      names.timeout_,
      std::to_string(std::max<int64_t>(1, ToMilliseconds(left))));
  forwarded.headers_.emplace_back(kForwardHeader, EncodeForwardHeader(header));
  return forwarded;
}

}  // namespace clementinerill::gateway
