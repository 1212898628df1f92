#include "gateway/usage_reporter.h"

#include <algorithm>
#include <utility>

#include "base/parse_number.h"
#include "duty/holding.h"
#include "http/http_message.h"
#include "logging/log.h"

namespace clementinerill::gateway {
namespace {

using std::chrono::milliseconds;
using usage::ReportOutcome;

// Share of the lease for which a call may last. After a renewal, at 0.4 of the
// lease, a call must still end within the lease.
constexpr int kCallsInLease = 2;
// Period at which the holder looks for windows to fix. It reads the marks of
// all daemons each time, 11,000 entries with 1,000 daemons.
constexpr milliseconds kFixPeriod{250};
// Names of missing daemons in a log line.
constexpr size_t kMaxNamesLogged = 5;

milliseconds RetryAfter(const http::ClientResponse& response) {
  const auto seconds =
      ParseDecimal(http::FindHeader(response.headers_, "Retry-After"));
  // The delay is limited further when it is used.
  constexpr double kMaxSeconds = 3600;
  return milliseconds(
      static_cast<int64_t>(1000 * std::min(seconds.value_or(0), kMaxSeconds)));
}

int64_t TotalOf(const usage::WindowReport& report) {
  int64_t total = 0;
  for (const auto& [organisation, requests] : report.counts_) {
    total += requests;
  }
  return total;
}

std::string JoinNames(const std::vector<std::string>& names) {
  std::string joined;
  for (size_t i = 0; i < std::min(names.size(), kMaxNamesLogged); ++i) {
    joined += (i == 0 ? "" : ",") + names[i];
  }
  return names.size() > kMaxNamesLogged ? joined + ",..." : joined;
}

}  // namespace

UsageReporter::UsageReporter(http::EventLoop& loop,
                             const std::string& daemon,
                             const UsageOptions& options,
                             const UsageExchange& exchange,
                             GatewayMetrics& metrics)
    : daemon_(daemon),
      options_(options),
      exchange_(exchange),
      metrics_(metrics),
      client_(loop, options.api_.address_, options.api_.port_) {
  sender_.min_interval_ =
      milliseconds(static_cast<int64_t>(1000 / options.calls_per_s_));
}

void UsageReporter::SetDuty(const duty::State& state, SetPayload set_payload) {
  duty_ = &state;
  set_payload_ = std::move(set_payload);
}

bool UsageReporter::NeedsCounts() const {
  return duty_ && (duty_->candidate_rank_ || duty_->lease_);
}

const usage::ReportBook* UsageReporter::ReadBook() {
  const BootInstant now = http::EventLoop::BootNow();
  const std::string* text = duty::PayloadInForce(*duty_, now);
  if (!text && duty_->known_ && duty_->known_->record_) {
    text = &duty_->known_->record_->payload_;
  }
  if (!text) {
    return nullptr;
  }
  if (has_book_ && *text == book_text_) {
    return &book_;
  }
  book_text_ = *text;
  auto book = usage::DecodeBook(*text);
  has_book_ = book.has_value();
  if (!book) {
    static RateLimitedLogger lines;
    lines.Log(http::EventLoop::Now(), LogLevel::kError, "usage",
              "reports in the store are not usable, starting anew",
              {{"reason", book.error().description_}});
    book = usage::ReportBook{};
    book->last_window_ = memory_.last_window_;
    has_book_ = true;
  }
  book_ = std::move(*book);
  usage::Remember(memory_, book_);
  return &book_;
}

void UsageReporter::Tick() {
  if (!duty_ || !ReadBook()) {
    return;
  }
  const BootInstant now = http::EventLoop::BootNow();
  if (duty::HeldToken(*duty_, now)) {
    FixWindows(now);
    SendNext(now);
  }
}

void UsageReporter::FixWindows(BootInstant now) {
  const auto time = usage::AgreedTime(exchange_.Clock(), now);
  if (!time || now < next_fix_ || duty::HasPendingPayload(*duty_)) {
    return;
  }
  next_fix_ = now + kFixPeriod;
  const usage::BookRevision revision = usage::ReviseBook(
      book_, memory_, exchange_.Table(), daemons_, options_.reports_, *time);
  // Acknowledged reports are removed with the next window.
  const bool is_needed = revision.book_.last_window_ != book_.last_window_ ||
                         !revision.missed_.empty();
  if (is_needed && set_payload_(usage::EncodeBook(revision.book_))) {
    LogRevision(revision);
  }
}

void UsageReporter::LogRevision(const usage::BookRevision& revision) {
  const Instant now = http::EventLoop::Now();
  for (const usage::MissedWindow& missed : revision.missed_) {
    metrics_.usage_missed_.Increment(missed.reason_,
                                     static_cast<uint64_t>(missed.windows_));
    static RateLimitedLogger lines;
    lines.Log(now, LogLevel::kWarning, "usage", "window missed",
              {{"window", missed.window_},
               {"windows", missed.windows_},
               {"reason", NameOf(usage::kMissReasonNames, missed.reason_)}});
  }
  for (const usage::DoubtfulWindow& doubtful : revision.doubtful_) {
    metrics_.usage_doubtful_.Increment();
    static RateLimitedLogger lines;
    lines.Log(now, LogLevel::kWarning, "usage",
              "window fixed without the counts of all daemons",
              {{"window", doubtful.window_},
               {"missing", doubtful.missing_.size()},
               {"daemons", JoinNames(doubtful.missing_)}});
  }
}

void UsageReporter::SendNext(BootInstant now) {
  const usage::WindowReport* next =
      usage::NextReport(sender_, memory_, book_, now);
  const Duration timeout =
      (duty_->rules_.lease_ - duty_->rules_.margin_) / kCallsInLease;
  const auto token = next ? duty::MayCall(*duty_, now, timeout) : std::nullopt;
  if (!token) {
    return;
  }
  usage::StartCall(sender_, next->window_, now);
  http::ClientRequest request = options_.encode_report_(daemon_, *token, *next);
  request.timeout_ = timeout;
  client_.Call(std::move(request),
               [this, now, report = *next](const http::ClientResponse& r) {
                 OnResponse(report, now, r);
               });
}

void UsageReporter::OnResponse(const usage::WindowReport& report,
                               BootInstant sent,
                               const http::ClientResponse& response) {
  const BootInstant now = http::EventLoop::BootNow();
  const ReportOutcome outcome = usage::OutcomeOf(response.status_);
  metrics_.usage_calls_.Increment(outcome);
  const auto time = usage::AgreedTime(exchange_.Clock(), now);
  const auto& settings = options_.reports_;
  if (outcome == ReportOutcome::kAcknowledged) {
    metrics_.usage_reported_.Increment();
    if (time &&
        *time - usage::WindowEnd(report.window_, settings.window_length_) >
            settings.delay_) {
      metrics_.usage_late_.Increment();
    }
  }
  LogResponse(report, outcome, sent, response);
  usage::FinishCall(sender_, memory_, outcome, RetryAfter(response), now);
}

void UsageReporter::LogResponse(const usage::WindowReport& report,
                                ReportOutcome outcome,
                                BootInstant sent,
                                const http::ClientResponse& response) {
  const bool is_success = outcome == ReportOutcome::kAcknowledged;
  static RateLimitedLogger successes;
  static RateLimitedLogger failures;
  RateLimitedLogger& lines = is_success ? successes : failures;
  lines.Log(http::EventLoop::Now(),
            is_success ? LogLevel::kInfo : LogLevel::kWarning, "usage",
            is_success ? "window reported" : "report not acknowledged",
            {{"window", report.window_},
             {"outcome", NameOf(usage::kReportOutcomeNames, outcome)},
             {"status", response.status_},
             {"took_ms", Duration(http::EventLoop::BootNow() - sent)},
             {"failures_before", sender_.failures_},
             {"organisations", report.counts_.size()},
             {"requests", TotalOf(report)}});
}

traffic::UsageStatus UsageReporter::Status() const {
  const BootInstant now = http::EventLoop::BootNow();
  traffic::UsageStatus status;
  if (duty_ && duty_->known_ && duty_->known_->record_) {
    status.holder_ = duty_->known_->record_->holder_;
    status.token_ = duty_->known_->record_->token_;
  }
  status.is_holder_ = duty_ && duty::HeldToken(*duty_, now).has_value();
  if (has_book_) {
    status.last_fixed_ = book_.last_window_;
    status.unsent_ = static_cast<size_t>(std::count_if(
        book_.unsent_.begin(), book_.unsent_.end(), [this](const auto& report) {
          return memory_.acknowledged_.count(report.window_) == 0;
        }));
  }
  status.last_sent_ = sender_.last_acknowledged_;
  const auto& clock = exchange_.Clock();
  if (clock.offset_ && clock.own_) {
    status.clock_error_ms_ = (clock.own_->offset_ - *clock.offset_).count();
  }
  return status;
}

}  // namespace clementinerill::gateway
