#include "daemon/pool_admission.h"

#include <algorithm>

namespace clementinerill {
namespace {

constexpr size_t kQueueCapacity = 256;
constexpr int kInitialQueries = 8;
// While a query waits for its slowest part, the slots of its other parts are
// free, so admitting more queries than slots keeps the slots in use.
constexpr int kQueriesPerSlot = 3;
constexpr auto kCallerCheckInterval = std::chrono::milliseconds(20);
// A query is admitted only if nearly all queries would complete within its
// remaining time: with the median, half of the queries admitted last miss their
// deadline.
constexpr double kExpectedQuantile = 0.95;

Instant Now() noexcept {
  return std::chrono::steady_clock::now();
}

}  // namespace

PoolAdmission::PoolAdmission()
    : queue_(MakeAdmissionQueue(kQueueCapacity)),
      gate_(MakeQueryGate(kInitialQueries, kInitialQueries)) {}

void PoolAdmission::SetCapacity(int queries) {
  const std::lock_guard lock(mutex_);
  const int min_limit = std::max(1, queries);
  if (gate_.min_limit_ == min_limit) {
    return;
  }
  gate_.min_limit_ = min_limit;
  gate_.max_limit_ = min_limit * kQueriesPerSlot;
  gate_.limit_ = gate_.max_limit_;
}

tl::expected<void, RefusalReason> PoolAdmission::Enter(
    RouteKind kind,
    Instant deadline,
    const std::function<bool()>& caller_gone) {
  std::unique_lock lock(mutex_);
  Waiter waiter;
  QueueEntry entry;
  entry.id_ = ++last_id_;
  entry.kind_ = kind;
  entry.deadline_ = deadline;
  entry.expected_service_time_ = expected_service_time_;
  waiters_[entry.id_] = &waiter;
  Refuse(EnqueueEntry(queue_, entry, Now()));
  AdmitWaiting(Now());
  while (!IsDecided(waiter)) {
    waiter.changed_.wait_for(lock, kCallerCheckInterval);
    if (IsDecided(waiter)) {
      break;
    }
    Refuse(ExpireEntries(queue_, Now()));
    if (!IsDecided(waiter) && caller_gone()) {
      CancelEntry(queue_, entry.id_);
      waiter.refusal_ = RefusalReason::kExpired;
    }
  }
  waiters_.erase(entry.id_);
  if (waiter.refusal_) {
    return tl::make_unexpected(*waiter.refusal_);
  }
  return {};
}

void PoolAdmission::Leave(QueryCompletion end, Duration elapsed) {
  const std::lock_guard lock(mutex_);
  const Instant now = Now();
  FinishQuery(gate_, end, now);
  if (end == QueryCompletion::kDeadlineMet) {
    AddSample(query_times_, elapsed);
    constexpr size_t kUpdateInterval = 16;
    if (query_times_.next_ % kUpdateInterval == 0) {
      expected_service_time_ = QuantileOf(query_times_, kExpectedQuantile);
    }
  }
  AdmitWaiting(now);
}

bool PoolAdmission::MayStart(const std::string& service, AttemptKind kind) {
  const std::lock_guard lock(mutex_);
  return clementinerill::MayStart(budgets_[service], kind);
}

void PoolAdmission::RecordStart(const std::string& service, AttemptKind kind) {
  const std::lock_guard lock(mutex_);
  clementinerill::RecordStart(budgets_[service], kind);
}

void PoolAdmission::AdmitWaiting(Instant now) {
  while (QueueLength(queue_) > 0 && AdmitQuery(gate_)) {
    const DequeueResult taken = DequeueEntry(queue_, now);
    Refuse(taken.refused_);
    if (!taken.entry_) {
      FinishQuery(gate_, QueryCompletion::kNotRun, now);
      return;
    }
    Waiter* waiter = waiters_.at(taken.entry_->id_);
    waiter->state_ = WaitState::kAdmitted;
    waiter->changed_.notify_one();
  }
}

void PoolAdmission::Refuse(const std::vector<RefusedEntry>& refused) {
  for (const RefusedEntry& entry : refused) {
    const auto found = waiters_.find(entry.entry_.id_);
    if (found != waiters_.end()) {
      found->second->refusal_ = entry.reason_;
      found->second->changed_.notify_one();
    }
  }
}

bool PoolAdmission::IsDecided(const Waiter& waiter) noexcept {
  return waiter.state_ == WaitState::kAdmitted || waiter.refusal_.has_value();
}

}  // namespace clementinerill
