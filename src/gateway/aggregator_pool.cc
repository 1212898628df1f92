#include "gateway/aggregator_pool.h"

#include <algorithm>
#include <utility>

namespace clementinerill::gateway {
namespace {

// Longest response accepted from an aggregator.
constexpr uint64_t kMaxResponseBytes = 16 * 1024 * 1024;
// Delay before the next connect after one that failed, and the time after which
// one that is not established is given up.
constexpr Duration kReconnectDelay = std::chrono::milliseconds(1000);
// Connections kept for queries in quick succession.
constexpr size_t kMaxIdle = 2;

bool IsOpenFor(const traffic::Aggregator& a, const traffic::Aggregator& b) {
  return a.address_ == b.address_ && a.port_ == b.port_;
}

}  // namespace

AggregatorPool::Connection AggregatorPool::Connect(Entry& entry) {
  auto connection = std::make_shared<http::ClientConnection>(
      loop_, entry.aggregator_.address_, entry.aggregator_.port_,
      kMaxResponseBytes);
  connection->EnableKeepAlive();
  if (!entry.response_buffers_) {
    entry.response_buffers_ = MakeBufferAccount(response_budget_);
  }
  connection->SetBufferAccount(entry.response_buffers_);
  return connection;
}

void AggregatorPool::CloseIdle(Entry& entry) {
  for (const Connection& connection : std::exchange(entry.idle_, {})) {
    connection->Close();
  }
}

std::optional<AggregatorPool::Lease> AggregatorPool::AcquireFrom(Entry& entry) {
  const auto ready = std::find_if(entry.idle_.rbegin(), entry.idle_.rend(),
                                  [](const Connection& connection) {
                                    return connection->IsReusable() &&
                                           connection->IsConnected();
                                  });
  Lease lease{entry.aggregator_.name_, nullptr};
  if (ready != entry.idle_.rend()) {
    lease.connection_ = *ready;
    entry.idle_.erase(std::next(ready).base());
  } else if (entry.leased_ > 0) {
    // The aggregator answers on the other connections.
    lease.connection_ = Connect(entry);
  } else {
    return std::nullopt;
  }
  ++entry.leased_;
  return lease;
}

std::optional<AggregatorPool::Lease> AggregatorPool::Acquire(
    const std::vector<traffic::Aggregator>& aggregators,
    Instant now) {
  for (const traffic::Aggregator& aggregator : aggregators) {
    const auto found = entries_.find(aggregator.name_);
    if (found == entries_.end() ||
        !traffic::IsUsable(found->second.health_, now)) {
      continue;
    }
    if (auto lease = AcquireFrom(found->second)) {
      return lease;
    }
  }
  return std::nullopt;
}

void AggregatorPool::Release(const Lease& lease,
                             traffic::ForwardOutcome outcome,
                             Instant now) {
  const bool is_reusable =
      lease.connection_->IsReusable() && !lease.connection_->IsBusy();
  const auto found = entries_.find(lease.aggregator_);
  if (found == entries_.end() || !is_reusable) {
    lease.connection_->Close();
  }
  if (found == entries_.end()) {
    return;
  }
  Entry& entry = found->second;
  // The entry may be newer than the lease, if the aggregator left and returned.
  entry.leased_ = std::max(entry.leased_ - 1, 0);
  const int failures = entry.health_.failures_in_row_;
  traffic::RecordForward(entry.health_, outcome, now);
  if (entry.health_.failures_in_row_ > failures) {
    lease.connection_->Close();
    CloseIdle(entry);
    entry.opened_at_ = now;
    return;
  }
  if (is_reusable && entry.idle_.size() < kMaxIdle) {
    entry.idle_.push_back(lease.connection_);
  } else {
    lease.connection_->Close();
  }
}

void AggregatorPool::MaintainEntry(Entry& entry, Instant now) {
  const bool may_connect = now - entry.opened_at_ >= kReconnectDelay;
  auto& idle = entry.idle_;
  idle.erase(std::remove_if(idle.begin(), idle.end(),
                            [may_connect](const Connection& connection) {
                              if (may_connect && !connection->IsConnected()) {
                                connection->Close();
                              }
                              return connection->IsClosed();
                            }),
             idle.end());
  if (idle.empty() && entry.leased_ == 0 && may_connect) {
    entry.opened_at_ = now;
    idle.push_back(Connect(entry));
    idle.back()->Open();
  }
}

void AggregatorPool::Maintain(
    const std::vector<traffic::Aggregator>& aggregators,
    Instant now) {
  std::map<std::string, Entry> kept;
  for (const traffic::Aggregator& aggregator : aggregators) {
    const auto found = entries_.find(aggregator.name_);
    Entry& entry = kept[aggregator.name_];
    if (found != entries_.end() &&
        IsOpenFor(found->second.aggregator_, aggregator)) {
      entry = std::move(found->second);
      entries_.erase(found);
    }
    entry.aggregator_ = aggregator;
  }
  for (auto& [name, entry] : entries_) {
    CloseIdle(entry);
  }
  entries_ = std::move(kept);
  for (auto& [name, entry] : entries_) {
    MaintainEntry(entry, now);
  }
}

}  // namespace clementinerill::gateway
