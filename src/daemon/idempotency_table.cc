#include "daemon/idempotency_table.h"

namespace clementinerill {
namespace {

constexpr auto kKeyLifetime = std::chrono::minutes(10);
// About 100 bytes per key. Beyond this number, the oldest outcomes are evicted.
constexpr size_t kMaxCompletedKeys = 100'000;

Instant Now() noexcept {
  return std::chrono::steady_clock::now();
}

QueryAnswer UnknownAnswer(const std::string& request_id) {
  QueryAnswer answer = RefusedAnswer(request_id, Reason::kDeadlinePassed);
  answer.outcome_ = Outcome::kUnknown;
  return answer;
}

}  // namespace

QueryAnswer IdempotencyTable::RunOnce(const QueryRequest& request,
                                      const std::function<QueryAnswer()>& run) {
  const Key key{request.route_.name_, request.idempotency_key_};
  std::unique_lock lock(mutex_);
  RemoveExpired(Now());
  const auto found = entries_.find(key);
  if (found != entries_.end()) {
    const std::shared_ptr<Entry> entry = found->second;
    return Join(lock, entry, request);
  }
  const auto entry = std::make_shared<Entry>();
  entry->query_ = request.query_;
  entries_[key] = entry;
  lock.unlock();
  QueryAnswer answer = run();
  lock.lock();
  Record(key, entry, answer);
  return answer;
}

QueryAnswer IdempotencyTable::Join(std::unique_lock<std::mutex>& lock,
                                   const std::shared_ptr<Entry>& entry,
                                   const QueryRequest& request) {
  if (entry->query_ != request.query_) {
    return RefusedAnswer(request.request_id_, Reason::kKeyReused);
  }
  entry->changed_.wait_until(lock, request.deadline_,
                             [&entry] { return entry->answer_.has_value(); });
  if (!entry->answer_) {
    return UnknownAnswer(request.request_id_);
  }
  QueryAnswer answer = *entry->answer_;
  answer.request_id_ = request.request_id_;
  return answer;
}

void IdempotencyTable::Record(const Key& key,
                              const std::shared_ptr<Entry>& entry,
                              const QueryAnswer& answer) {
  entry->answer_ = answer;
  entry->completed_at_ = Now();
  entry->changed_.notify_all();
  if (answer.outcome_ == Outcome::kRefused) {
    entries_.erase(key);
  } else {
    completed_.push_back(key);
  }
}

void IdempotencyTable::RemoveExpired(Instant now) {
  while (!completed_.empty()) {
    const auto found = entries_.find(completed_.front());
    const bool expired = found != entries_.end() &&
                         now - found->second->completed_at_ >= kKeyLifetime;
    if (!expired && completed_.size() <= kMaxCompletedKeys) {
      return;
    }
    entries_.erase(completed_.front());
    completed_.pop_front();
  }
}

}  // namespace clementinerill
