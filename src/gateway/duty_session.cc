#include "gateway/duty_session.h"

#include <algorithm>
#include <cstdio>
#include <random>
#include <utility>

#include "gateway/store_codec.h"
#include "logging/log.h"

namespace clementinerill::gateway {
namespace {

// Time for a response of the store, as a share of the lease: a renewal that is
// not answered is followed by a read and two more writes before the lease ends.
constexpr int kTimeoutsPerLease = 5;
constexpr Duration kMaxTimeout = std::chrono::milliseconds(600);

std::string NewProcessId(const std::string& daemon) {
  std::random_device random;
  char id[2 * 8 + 1];
  std::snprintf(id, sizeof(id), "%08x%08x", random(), random());
  return daemon + "." + id;
}

Duration TimeoutOf(const DutyOptions& options) {
  return std::min(options.lease_ / kTimeoutsPerLease, kMaxTimeout);
}

duty::State InitialState(const GatewayOptions& options) {
  duty::State state;
  state.rules_ = duty::MakeRules(options.duty_->lease_, options.duty_->margin_);
  state.holder_ = options.name_;
  state.process_ = NewProcessId(options.name_);
  return state;
}

duty::WriteOutcome OutcomeOf(const http::ClientResponse& response) {
  if (response.status_ >= 200 && response.status_ < 300) {
    return duty::WriteOutcome::kConfirmed;
  }
  return response.status_ == 409 ? duty::WriteOutcome::kRefused
                                 : duty::WriteOutcome::kUnanswered;
}

}  // namespace

DutySession::DutySession(http::EventLoop& loop,
                         const GatewayOptions& options,
                         GatewayMetrics& metrics,
                         std::function<void()> on_status)
    : loop_(loop),
      options_(options),
      duty_(*options.duty_),
      metrics_(metrics),
      on_status_(std::move(on_status)),
      state_(InitialState(options)),
      client_(loop, options.store_.address_, options.store_.port_) {}

DutySession::~DutySession() {
  if (timer_) {
    loop_.Timers().Cancel(*timer_);
  }
}

void DutySession::SetDaemons(const std::vector<mirror::DaemonRecord>& daemons) {
  std::vector<duty::Daemon> candidates;
  candidates.reserve(daemons.size());
  for (const mirror::DaemonRecord& daemon : daemons) {
    candidates.push_back({daemon.name_, daemon.failure_domain_});
  }
  const auto rank =
      duty::CandidateRank(duty_.name_, options_.name_, candidates);
  if (rank != state_.candidate_rank_) {
    Log(LogLevel::kInfo, "duty", "candidate",
        {{"duty", duty_.name_}, {"rank", rank ? *rank + 1 : 0}});
    duty::SetCandidateRank(state_, rank);
    Step();
  }
}

bool DutySession::SetPayload(std::string payload) {
  if (!duty::SetPayload(state_, std::move(payload),
                        http::EventLoop::BootNow())) {
    return false;
  }
  Step();
  return true;
}

traffic::DutyStatus DutySession::Status() const {
  traffic::DutyStatus status;
  status.name_ = duty_.name_;
  status.is_candidate_ = state_.candidate_rank_.has_value();
  status.is_held_ = held_token_.has_value();
  if (state_.known_ && state_.known_->record_) {
    status.holder_ = state_.known_->record_->holder_;
    status.token_ = state_.known_->record_->token_;
  }
  return status;
}

void DutySession::Step() {
  const BootInstant now = http::EventLoop::BootNow();
  Report(now);
  const duty::Action action = duty::NextAction(state_, now);
  Schedule(action.until_, now);
  if (action.kind_ == duty::ActionKind::kRead) {
    SendRead(action);
  } else if (action.kind_ == duty::ActionKind::kWrite) {
    SendWrite(action);
  }
}

// Also at the end of the lease, so that it is reported.
void DutySession::Schedule(std::optional<BootInstant> at, BootInstant now) {
  if (timer_) {
    loop_.Timers().Cancel(*timer_);
    timer_.reset();
  }
  if (held_token_) {
    const BootInstant end =
        state_.lease_->sent_at_ + state_.rules_.lease_ - state_.rules_.margin_;
    at = at ? std::min(*at, end) : end;
  }
  if (!at) {
    return;
  }
  const Duration delay = std::max(Duration(*at - now), Duration::zero());
  timer_ = loop_.Timers().Add(http::EventLoop::Now() + delay, [this] {
    timer_.reset();
    Step();
  });
}

void DutySession::SendRead(const duty::Action& action) {
  const StoreCodec& codec = options_.store_codec_;
  http::ClientRequest request;
  request.target_ =
      codec.list_target_(codec.kinds_.duties_, "", action.may_be_stale_);
  request.timeout_ = TimeoutOf(duty_);
  metrics_.store_calls_.Increment();
  client_.Call(
      std::move(request),
      [this](const http::ClientResponse& response) { OnRead(response); });
}

void DutySession::SendWrite(const duty::Action& action) {
  const StoreCodec& codec = options_.store_codec_;
  http::ClientRequest request;
  request.method_ = action.revision_ ? "PUT" : "POST";
  request.target_ =
      action.revision_ ? codec.object_target_(codec.kinds_.duties_, duty_.name_)
                       : codec.list_target_(codec.kinds_.duties_, "", false);
  request.body_ =
      codec.encode_duty_(duty_.name_, action.record_, action.revision_);
  request.timeout_ = TimeoutOf(duty_);
  metrics_.store_calls_.Increment();
  client_.Call(std::move(request), [this, token = action.record_.token_](
                                       const http::ClientResponse& response) {
    OnWritten(token, response);
  });
}

duty::ReadEvent DutySession::DecodeRead(
    const http::ClientResponse& response) const {
  const StoreCodec& codec = options_.store_codec_;
  if (response.status_ != 200) {
    return {};
  }
  const auto page = codec.decode_page_(response.body_, JsonBounds{});
  if (!page) {
    return {};
  }
  duty::ReadEvent event;
  event.era_ = codec.decode_era_(response.headers_);
  event.revision_ = page->revision_;
  event.is_answered_ = !page->has_more_;
  for (const StoredObject& object : page->objects_) {
    if (object.name_ != duty_.name_) {
      continue;
    }
    auto record = codec.decode_duty_(object);
    if (!record) {
      static RateLimitedLogger lines;
      lines.Log(http::EventLoop::Now(), LogLevel::kError, "duty",
                "object is not usable, nobody acts",
                {{"duty", duty_.name_}, {"error", Format(record.error())}});
      return {};
    }
    event.record_ = std::move(*record);
    event.revision_ = object.revision_;
  }
  return event;
}

void DutySession::OnRead(const http::ClientResponse& response) {
  const duty::ReadEvent event = DecodeRead(response);
  if (!event.is_answered_) {
    metrics_.store_failures_.Increment();
    static RateLimitedLogger lines;
    lines.Log(
        http::EventLoop::Now(), LogLevel::kInfo, "duty", "read failed",
        {{"duty", duty_.name_}, {"reason", http::DescribeFailure(response)}});
  }
  duty::ApplyRead(state_, event, http::EventLoop::BootNow());
  OnEvent();
}

void DutySession::OnWritten(int64_t token,
                            const http::ClientResponse& response) {
  const StoreCodec& codec = options_.store_codec_;
  const duty::WriteOutcome outcome = OutcomeOf(response);
  metrics_.duty_writes_.Increment(outcome);
  duty::WriteEvent event;
  event.is_confirmed_ = outcome == duty::WriteOutcome::kConfirmed;
  if (event.is_confirmed_) {
    event.era_ = codec.decode_era_(response.headers_);
    event.revision_ = codec.decode_revision_(response.body_);
  } else {
    if (outcome == duty::WriteOutcome::kUnanswered) {
      metrics_.store_failures_.Increment();
    }
    static RateLimitedLogger lines;
    lines.Log(
        http::EventLoop::Now(), LogLevel::kWarning, "duty",
        "write not confirmed, reading back",
        {{"duty", duty_.name_},
         {"token", token},
         {"outcome", std::string(NameOf(duty::kWriteOutcomeNames, outcome))},
         {"status", response.status_}});
  }
  duty::ApplyWrite(state_, event, http::EventLoop::BootNow());
  OnEvent();
}

void DutySession::OnEvent() {
  on_event_();
  Step();
}

void DutySession::Report(BootInstant now) {
  ReportHolding(now);
  traffic::DutyStatus status = Status();
  if (status == status_) {
    return;
  }
  if (status.token_ != status_.token_) {
    Log(LogLevel::kInfo, "duty", "holder changed",
        {{"duty", duty_.name_},
         {"holder", status.holder_},
         {"token", status.token_},
         {"previous", status_.token_}});
  }
  status_ = std::move(status);
  on_status_();
}

void DutySession::ReportHolding(BootInstant now) {
  const auto held = duty::HeldToken(state_, now);
  if (held == held_token_) {
    return;
  }
  if (held) {
    Log(LogLevel::kInfo, "duty", "held",
        {{"duty", duty_.name_}, {"token", *held}});
  } else {
    ReportLoss();
  }
  held_token_ = held;
  metrics_.duty_held_.Set(held ? 1 : 0);
}

void DutySession::ReportLoss() {
  const duty::LossReason reason =
      !state_.lease_ ? duty::LossReason::kReplaced
      : duty::EraOfToken(state_.lease_->token_) != state_.era_
          ? duty::LossReason::kNewEra
          : duty::LossReason::kExpired;
  metrics_.duty_losses_.Increment(reason);
  Log(LogLevel::kWarning, "duty", "lost",
      {{"duty", duty_.name_},
       {"token", *held_token_},
       {"reason", std::string(NameOf(duty::kLossReasonNames, reason))}});
}

}  // namespace clementinerill::gateway
