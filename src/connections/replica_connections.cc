#include "connections/replica_connections.h"

#include <algorithm>

#include "base/invariant.h"

namespace clementinerill {
namespace {

bool IsIdle(const ConnectionRecord& record) noexcept {
  return !record.exchange_started_ && !record.condemned_;
}

bool IsStalled(const ConnectionRecord& record,
               const ReplicaConnections& connections,
               const ConnectionPolicy& policy,
               Instant now) noexcept {
  const Instant started = *record.exchange_started_;
  return !record.protected_ && now - started >= policy.stall_threshold_ &&
         connections.latest_completed_start_ > started;
}

bool HasUnansweredCancel(const ConnectionRecord& record,
                         const ConnectionPolicy& policy,
                         Instant now) noexcept {
  return record.cancel_confirmed_ &&
         now - *record.cancel_confirmed_ >= policy.cancel_grace_;
}

}  // namespace

std::optional<uint64_t> SelectIdleConnection(
    const ReplicaConnections& connections,
    const ConnectionPolicy& policy,
    bool requires_recent_response,
    Instant now) noexcept {
  const ConnectionRecord* best = nullptr;
  for (const ConnectionRecord& record : connections.records_) {
    const bool better =
        best == nullptr || record.last_response_ > best->last_response_;
    if (IsIdle(record) && better) {
      best = &record;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  if (requires_recent_response &&
      now - best->last_response_ > policy.response_validity_) {
    return std::nullopt;
  }
  return best->id_;
}

bool CanOpenConnection(const ReplicaConnections& connections,
                       const ConnectionPolicy& policy) noexcept {
  const auto open = static_cast<int>(connections.records_.size());
  return open + connections.opening_ < policy.max_connections_;
}

int CountToOpen(const ReplicaConnections& connections,
                const ConnectionPolicy& policy) noexcept {
  const auto idle = static_cast<int>(std::count_if(
      connections.records_.begin(), connections.records_.end(), IsIdle));
  const int wanted = policy.min_idle_ - idle - connections.opening_;
  const int allowed = policy.max_connections_ -
                      static_cast<int>(connections.records_.size()) -
                      connections.opening_;
  return std::max(0, std::min(wanted, allowed));
}

std::vector<uint64_t> FindSilent(const ReplicaConnections& connections,
                                 const ConnectionPolicy& policy,
                                 Instant now) {
  std::vector<uint64_t> silent;
  for (const ConnectionRecord& record : connections.records_) {
    if (!record.exchange_started_ || record.condemned_) {
      continue;
    }
    if (IsStalled(record, connections, policy, now) ||
        HasUnansweredCancel(record, policy, now)) {
      silent.push_back(record.id_);
    }
  }
  return silent;
}

ConnectionRecord* FindRecord(ReplicaConnections& connections,
                             uint64_t id) noexcept {
  for (ConnectionRecord& record : connections.records_) {
    if (record.id_ == id) {
      return &record;
    }
  }
  return nullptr;
}

void RecordExchangeStart(ReplicaConnections& connections,
                         uint64_t id,
                         bool is_protected,
                         Instant now) noexcept {
  ConnectionRecord* record = FindRecord(connections, id);
  CR_INVARIANT(record != nullptr);
  CR_INVARIANT(!record->exchange_started_);
  record->exchange_started_ = now;
  record->protected_ = is_protected;
  record->cancel_confirmed_.reset();
}

void RecordExchangeCompleted(ReplicaConnections& connections,
                             uint64_t id,
                             Instant now) noexcept {
  ConnectionRecord* record = FindRecord(connections, id);
  CR_INVARIANT(record != nullptr);
  CR_INVARIANT(record->exchange_started_);
  connections.latest_completed_start_ =
      std::max(connections.latest_completed_start_, *record->exchange_started_);
  record->exchange_started_.reset();
  record->cancel_confirmed_.reset();
  record->last_response_ = now;
}

void RemoveRecord(ReplicaConnections& connections, uint64_t id) noexcept {
  auto& records = connections.records_;
  records.erase(
      std::remove_if(records.begin(), records.end(),
                     [id](const ConnectionRecord& r) { return r.id_ == id; }),
      records.end());
}

}  // namespace clementinerill
