#include "daemon/attempt_runner.h"

#include <utility>

#include "upstream/http_exchange.h"

namespace clementinerill {
namespace {

constexpr auto kCancelTimeout = std::chrono::milliseconds(300);

Instant Now() noexcept {
  return std::chrono::steady_clock::now();
}

// Whether the upstream may still be running the request.
bool MayStillRun(const ExchangeResult& result) noexcept {
  return !IsWholeAnswer(result) && !IsNotRun(result.result_);
}

}  // namespace

AttemptRunner::AttemptRunner(Dispatcher& dispatcher,
                             TaskPool& exchange_pool,
                             TaskPool& control_pool)
    : dispatcher_(dispatcher),
      exchange_pool_(exchange_pool),
      control_pool_(control_pool) {}

void AttemptRunner::Start(std::shared_ptr<RunningAttempt> attempt) {
  exchange_pool_.Post([this, attempt = std::move(attempt)] { Run(attempt); });
}

void AttemptRunner::Run(const std::shared_ptr<RunningAttempt>& attempt) {
  const Instant started = Now();
  ExchangeResult result = Exchange(*attempt);
  const Instant ended = Now();
  const DispatchGrant& grant = attempt->grant_;
  dispatcher_.Observe(grant, result, ended - started, ended);
  if (MayStillRun(result)) {
    CancelUnanswered(attempt);
  } else {
    dispatcher_.Release(grant, ended);
  }
  attempt->mailbox_->Post(AttemptEvent{attempt->generation_, attempt->part_,
                                       attempt->attempt_, std::move(result)});
}

ExchangeResult AttemptRunner::Exchange(RunningAttempt& attempt) {
  ConnectionPool& pool = attempt.grant_.upstream_->pool_;
  const ExchangeRequest& request = attempt.request_;
  ExchangeResult result;
  const auto connection =
      pool.Acquire(/*is_protected=*/!request.idempotent_, request.deadline_);
  if (!connection) {
    return result;
  }
  {
    const std::lock_guard lock(attempt.mutex_);
    if (attempt.cancelled_) {
      pool.Release(*connection);
      return result;
    }
    attempt.connection_id_ = connection->id_;
  }
  const Instant now = Now();
  if (now >= request.deadline_ || now >= attempt.grant_.fence_) {
    // Do not send: an upstream measures the deadline from the arrival of the
    // request, and after the fence the slot may belong to another daemon.
    pool.Release(*connection);
    return result;
  }
  result = RunExchange(*connection->session_, request, Now());
  if (IsWholeAnswer(result)) {
    pool.Release(*connection);
  } else {
    result.connection_silent_ = pool.Discard(*connection);
  }
  return result;
}

void AttemptRunner::CancelUnanswered(
    const std::shared_ptr<RunningAttempt>& attempt) {
  {
    const std::lock_guard lock(attempt->mutex_);
    attempt->ended_ = true;
    if (attempt->cancel_confirmed_) {
      dispatcher_.Release(attempt->grant_, Now());
      return;
    }
  }
  PostCancel(attempt);
}

void AttemptRunner::Cancel(std::shared_ptr<RunningAttempt> attempt) {
  {
    const std::lock_guard lock(attempt->mutex_);
    attempt->cancelled_ = true;
    if (attempt->connection_id_ == 0) {
      return;
    }
  }
  PostCancel(std::move(attempt));
}

void AttemptRunner::RetryCancellations() {
  std::vector<std::shared_ptr<RunningAttempt>> attempts;
  {
    const std::lock_guard lock(mutex_);
    attempts.swap(unconfirmed_);
  }
  for (auto& attempt : attempts) {
    PostCancel(std::move(attempt));
  }
}

void AttemptRunner::PostCancel(std::shared_ptr<RunningAttempt> attempt) {
  control_pool_.Post([this, attempt = std::move(attempt)] {
    if (SendCancel(*attempt)) {
      return;
    }
    const std::lock_guard lock(mutex_);
    unconfirmed_.push_back(attempt);
  });
}

bool AttemptRunner::SendCancel(RunningAttempt& attempt) {
  ConnectionPool& pool = attempt.grant_.upstream_->pool_;
  {
    const std::lock_guard lock(attempt.mutex_);
    if (attempt.cancel_confirmed_) {
      return true;
    }
  }
  const auto connection =
      pool.Acquire(/*is_protected=*/false, Now() + kCancelTimeout);
  if (!connection) {
    // A refused connection means that the process has terminated, and with it
    // every request that it was running.
    if (connection.error() == AcquireError::kRefused) {
      RecordCancelConfirmed(attempt);
      return true;
    }
    return false;
  }
  const auto confirmed = RunControlExchange(
      *connection->session_, "POST",
      "/cancel?id=" + attempt.request_.attempt_id_, kCancelTimeout);
  if (!confirmed) {
    pool.Discard(*connection);
    return false;
  }
  pool.Release(*connection);
  RecordCancelConfirmed(attempt);
  return true;
}

void AttemptRunner::RecordCancelConfirmed(RunningAttempt& attempt) {
  const std::lock_guard lock(attempt.mutex_);
  attempt.cancel_confirmed_ = true;
  if (attempt.ended_) {
    dispatcher_.Release(attempt.grant_, Now());
  } else {
    attempt.grant_.upstream_->pool_.NoteCancelConfirmed(attempt.connection_id_);
  }
}

}  // namespace clementinerill
