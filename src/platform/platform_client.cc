#include "platform/platform_client.h"

#include <algorithm>
#include <utility>

#include <Poco/Net/HTTPResponse.h>
#include <Poco/URI.h>

#include "platform/change_id.h"
#include "platform/vm_list_json.h"

namespace clementinerill {
namespace {

using Poco::Net::HTTPResponse;

Instant Now() {
  return std::chrono::steady_clock::now();
}

std::string ObjectPath(const std::string& key) {
  std::string path = "/objects/";
  Poco::URI::encode(key, "?#%", path);
  return path;
}

// The store sends these statuses without executing the request.
bool IsRejectedBeforeExecution(int status) noexcept {
  return status == HTTPResponse::HTTP_SERVICE_UNAVAILABLE ||
         status == HTTPResponse::HTTP_TOO_MANY_REQUESTS;
}

bool IsRetryable(const HttpExchange& exchange) noexcept {
  return exchange.outcome_ != HttpExchangeOutcome::kResponse ||
         exchange.status_ >= 500 ||
         exchange.status_ == HTTPResponse::HTTP_TOO_MANY_REQUESTS;
}

// Whether the request may have been executed although there is no usable
// response.
bool MayHaveExecuted(const HttpExchange& exchange) noexcept {
  return exchange.outcome_ == HttpExchangeOutcome::kLost ||
         (exchange.outcome_ == HttpExchangeOutcome::kResponse &&
          exchange.status_ >= 500 &&
          !IsRejectedBeforeExecution(exchange.status_));
}

std::string DescribeFailure(const HttpExchange& exchange) {
  if (exchange.outcome_ != HttpExchangeOutcome::kResponse) {
    return exchange.reason_;
  }
  return "the platform responded with HTTP status " +
         std::to_string(exchange.status_);
}

ReadOutcome ToReadOutcome(HttpExchange exchange) {
  if (IsRetryable(exchange)) {
    return {ReadStatus::kUnavailable, {}, DescribeFailure(exchange)};
  }
  switch (exchange.status_) {
    case HTTPResponse::HTTP_NOT_FOUND:
      return {ReadStatus::kAbsent, {}, {}};
    case HTTPResponse::HTTP_NOT_MODIFIED:
      return {ReadStatus::kUnchanged, {}, {}};
    case HTTPResponse::HTTP_OK:
      break;
    default:
      return {ReadStatus::kRejected, {}, DescribeFailure(exchange)};
  }
  if (exchange.version_ == 0) {
    return {ReadStatus::kRejected,
            {},
            "the response has no valid version in its ETag header"};
  }
  return {
      ReadStatus::kFound, {exchange.version_, std::move(exchange.body_)}, {}};
}

HttpCall MakePut(const std::string& key,
                 const std::string& value,
                 std::optional<uint64_t> expected_version) {
  HttpCall call;
  call.method_ = Poco::Net::HTTPRequest::HTTP_PUT;
  call.path_ = ObjectPath(key);
  call.body_ = value;
  if (expected_version == uint64_t{0}) {
    call.condition_header_ = "If-None-Match";
    call.condition_value_ = "*";
  } else if (expected_version) {
    call.condition_header_ = "If-Match";
    call.condition_value_ = '"' + std::to_string(*expected_version) + '"';
  }
  return call;
}

}  // namespace

/// State of a write, kept across its attempts.
struct PlatformClient::PutState {
  std::string change_id_;
  std::optional<uint64_t> expected_version_;
  bool may_have_executed_ = false;  ///< An attempt may have taken effect.
  uint64_t observed_version_ = 0;
};

PlatformClient::PlatformClient(PlatformSettings settings)
    : settings_(std::move(settings)),
      http_client_(settings_.address_, settings_.port_, settings_.token_),
      budget_(settings_.retry_budget_),
      random_(std::random_device{}()) {
  budget_.last_refill_ = Now();
}

ReadOutcome PlatformClient::Get(const std::string& key, Instant deadline) {
  HttpCall call;
  call.path_ = ObjectPath(key);
  return ToReadOutcome(RunWithRetries(call, deadline));
}

ReadOutcome PlatformClient::Watch(const std::string& key,
                                  uint64_t version,
                                  std::chrono::milliseconds wait) {
  HttpCall call;
  call.path_ = ObjectPath(key) + "?watch=" + std::to_string(version) +
               "&timeout_ms=" + std::to_string(wait.count());
  call.timeout_ = wait + settings_.call_timeout_;
  ReadOutcome outcome = ToReadOutcome(http_client_.Run(call));
  const bool is_not_newer = outcome.status_ == ReadStatus::kFound &&
                            outcome.object_.version_ <= version;
  return is_not_newer ? ReadOutcome{ReadStatus::kUnchanged, {}, {}} : outcome;
}

Result<std::vector<Vm>> PlatformClient::ListVms(Instant deadline) {
  HttpCall call;
  call.path_ = "/vms";
  const HttpExchange exchange = RunWithRetries(call, deadline);
  if (exchange.outcome_ != HttpExchangeOutcome::kResponse ||
      exchange.status_ != HTTPResponse::HTTP_OK) {
    return Fail(DescribeFailure(exchange));
  }
  return ParseVmList(exchange.body_);
}

WriteOutcome PlatformClient::Put(const std::string& key,
                                 const std::string& value,
                                 std::optional<uint64_t> expected_version,
                                 Instant deadline) {
  const HttpCall call = MakePut(key, value, expected_version);
  PutState state;
  state.change_id_ = ChangeIdOf(value);
  state.expected_version_ = expected_version;
  for (int failures = 1;; ++failures) {
    const HttpExchange exchange = RunUntil(call, deadline);
    const bool is_conflict =
        exchange.outcome_ == HttpExchangeOutcome::kResponse &&
        exchange.status_ == HTTPResponse::HTTP_PRECONDITION_FAILED;
    if (!IsRetryable(exchange) && !is_conflict) {
      return exchange.status_ == HTTPResponse::HTTP_OK
                 ? WriteOutcome{WriteStatus::kAccepted, exchange.version_, {}}
                 : WriteOutcome{WriteStatus::kRejected, 0,
                                DescribeFailure(exchange)};
    }
    if (is_conflict && !state.may_have_executed_) {
      return {WriteStatus::kConflict, exchange.version_,
              "version conflict: the object has version " +
                  std::to_string(exchange.version_)};
    }
    state.may_have_executed_ =
        state.may_have_executed_ || MayHaveExecuted(exchange);
    if (state.may_have_executed_) {
      const auto resolved = ResolveByReadBack(key, state, deadline);
      if (resolved) {
        return *resolved;
      }
    }
    if (!PauseBeforeRetry(failures, deadline)) {
      return {state.may_have_executed_ ? WriteStatus::kUnknown
                                       : WriteStatus::kUnavailable,
              state.observed_version_, DescribeFailure(exchange)};
    }
  }
}

// Reads the object back to resolve a write whose response was lost. Returns
// nothing if the write has not taken effect yet: the request may still be in
// flight, and retrying is safe, since the version condition lets it take effect
// at most once.
std::optional<WriteOutcome> PlatformClient::ResolveByReadBack(
    const std::string& key,
    PutState& state,
    Instant deadline) {
  const ReadOutcome read = Get(key, deadline);
  if (read.status_ != ReadStatus::kFound &&
      read.status_ != ReadStatus::kAbsent) {
    return WriteOutcome{
        WriteStatus::kUnknown, state.observed_version_,
        "the response was lost and reading the object back failed: " +
            read.reason_};
  }
  state.observed_version_ = read.object_.version_;
  const bool is_own_write = !state.change_id_.empty() &&
                            ChangeIdOf(read.object_.value_) == state.change_id_;
  if (is_own_write) {
    return WriteOutcome{WriteStatus::kAccepted, read.object_.version_, {}};
  }
  if (!state.expected_version_ ||
      *state.expected_version_ == read.object_.version_) {
    return std::nullopt;
  }
  return WriteOutcome{
      WriteStatus::kUnknown, read.object_.version_,
      "the response was lost and another writer wrote version " +
          std::to_string(read.object_.version_)};
}

HttpExchange PlatformClient::RunUntil(HttpCall call, Instant deadline) {
  const auto remaining =
      std::chrono::milliseconds(ToMilliseconds(deadline - Now()));
  // POCO treats a timeout of 0 as no timeout.
  call.timeout_ = std::clamp(remaining, std::chrono::milliseconds(1),
                             settings_.call_timeout_);
  return http_client_.Run(call);
}

HttpExchange PlatformClient::RunWithRetries(const HttpCall& call,
                                            Instant deadline) {
  for (int failures = 1;; ++failures) {
    HttpExchange exchange = RunUntil(call, deadline);
    if (!IsRetryable(exchange) || !PauseBeforeRetry(failures, deadline)) {
      return exchange;
    }
  }
}

// Returns false when a retry would start after the deadline.
bool PlatformClient::PauseBeforeRetry(int failures, Instant deadline) {
  std::unique_lock lock(mutex_);
  const Instant now = Now();
  const Duration backoff =
      BackoffDelay(settings_.backoff_, failures, random_());
  if (stopped_ || now + backoff >= deadline) {
    return false;
  }
  const Duration pause = std::max(backoff, ReserveRetry(budget_, now));
  if (now + pause >= deadline) {
    ReleaseRetry(budget_);
    return false;
  }
  return !stop_signal_.wait_for(lock, pause, [this] { return stopped_; });
}

Duration PlatformClient::DelayAfter(int failures) {
  const std::lock_guard lock(mutex_);
  return BackoffDelay(settings_.backoff_, failures, random_());
}

void PlatformClient::Stop() noexcept {
  {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
  }
  stop_signal_.notify_all();
  http_client_.Stop();
}

}  // namespace clementinerill
