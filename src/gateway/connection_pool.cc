#include "gateway/connection_pool.h"

#include <algorithm>
#include <set>
#include <utility>

#include "traffic/connection_shares.h"

namespace clementinerill::gateway {
namespace {

// Longest response accepted from a replica; the budget for all responses may
// allow less.
constexpr uint64_t kMaxResponseBytes = 16 * 1024 * 1024;

// An idle connection is retired this long before the replica's idle timeout, so
// that a request does not race with the close.
constexpr Duration kIdleTimeoutMargin = std::chrono::milliseconds(300);

// Idle timeout of connections beyond this daemon's share of the replica's
// connections: daemons take turns in using them.
constexpr Duration kExcessIdleTimeout = std::chrono::milliseconds(500);

// Delay before reconnecting to a replica that could not be reached.
constexpr Duration kReconnectDelay = std::chrono::milliseconds(1000);

// Limit of connections opened in advance by one call of `Maintain`, so that
// connecting to many new or returning replicas does not saturate the CPU.
constexpr int kMaxOpensPerMaintenance = 12;

bool ShouldPreconnect(const traffic::FleetState& fleet,
                      const traffic::ReplicaState& replica) {
  return !replica.misdirected_ && !traffic::LeavingSince(replica) &&
         fleet.view_->evacuated_.count(replica.entry_.failure_domain_) == 0;
}

}  // namespace

std::shared_ptr<http::ClientConnection> ConnectionPool::MakeConnection(
    const std::shared_ptr<traffic::ReplicaState>& replica) {
  auto connection = std::make_shared<http::ClientConnection>(
      loop_, replica->entry_.address_, replica->entry_.port_,
      kMaxResponseBytes);
  if (!replica->response_buffers_) {
    replica->response_buffers_ = MakeBufferAccount(response_budget_);
  }
  connection->SetBufferAccount(replica->response_buffers_);
  ++replica->open_connections_;
  const std::weak_ptr<http::ClientConnection> weak = connection;
  http::ClientConnection* raw = connection.get();
  connection->OnClosed([this, replica, raw] {
    --replica->open_connections_;
    RemoveIdle(replica.get(), raw);
  });
  return connection;
}

std::shared_ptr<http::ClientConnection> ConnectionPool::Acquire(
    const std::shared_ptr<traffic::ReplicaState>& replica,
    Duration max_idle,
    Instant now) {
  const auto found = entries_.find(replica.get());
  if (found != entries_.end()) {
    CloseExpired(found->second, now);
    auto& idle = found->second.idle_;
    if (!idle.empty() && now - idle.back().connection_->LastUse() < max_idle) {
      auto connection = std::move(idle.back().connection_);
      idle.pop_back();
      --replica->idle_connections_;
      return connection;
    }
  }
  return MakeConnection(replica);
}

void ConnectionPool::Release(
    const std::shared_ptr<traffic::ReplicaState>& replica,
    const std::shared_ptr<http::ClientConnection>& connection,
    std::optional<Duration> keep_alive,
    Instant now) {
  if (!connection->IsReusable() || replica->misdirected_) {
    connection->Close();
    return;
  }
  Entry& entry = entries_[replica.get()];
  entry.replica_ = replica;
  IdleConnection idle{connection};
  if (keep_alive) {
    idle.usable_until_ =
        now + std::max(*keep_alive - kIdleTimeoutMargin, Duration::zero());
  }
  AddIdle(entry, std::move(idle));
}

void ConnectionPool::AddIdle(Entry& entry, IdleConnection idle) {
  entry.idle_.push_back(std::move(idle));
  ++entry.replica_->idle_connections_;
}

void ConnectionPool::RemoveIdle(traffic::ReplicaState* replica,
                                const http::ClientConnection* connection) {
  const auto found = entries_.find(replica);
  if (found == entries_.end()) {
    return;
  }
  auto& idle = found->second.idle_;
  const auto position = std::find_if(idle.begin(), idle.end(),
                                     [connection](const IdleConnection& i) {
                                       return i.connection_.get() == connection;
                                     });
  if (position != idle.end()) {
    idle.erase(position);
    --replica->idle_connections_;
  }
}

void ConnectionPool::CloseExpired(Entry& entry, Instant now) {
  std::vector<std::shared_ptr<http::ClientConnection>> expired;
  for (const IdleConnection& idle : entry.idle_) {
    if (idle.usable_until_ <= now) {
      expired.push_back(idle.connection_);
    }
  }
  for (const auto& connection : expired) {
    connection->Close();
  }
}

void ConnectionPool::CloseExcessIdle(Entry& entry, Instant now) {
  for (IdleConnection& idle : entry.idle_) {
    if (now - idle.connection_->LastUse() >= kExcessIdleTimeout) {
      idle.usable_until_ = now;
    }
  }
  CloseExpired(entry, now);
}

void ConnectionPool::Preconnect(Entry& entry, Instant now) {
  const auto connection = MakeConnection(entry.replica_);
  AddIdle(entry, {connection});
  entry.reconnect_at_ = now + kReconnectDelay;
  connection->Open();
}

void ConnectionPool::Maintain(const traffic::FleetState& fleet, Instant now) {
  if (!fleet.view_) {
    return;
  }
  std::set<traffic::ReplicaState*> listed;
  int opens = 0;
  for (const auto& [name, service] : fleet.services_) {
    for (const auto& replica : service->replicas_) {
      listed.insert(replica.get());
      if (!service->is_routed_ || !ShouldPreconnect(fleet, *replica)) {
        continue;
      }
      Entry& entry = entries_[replica.get()];
      entry.replica_ = replica;
      CloseExpired(entry, now);
      if (!traffic::MayKeepIdle(fleet, *service, *replica)) {
        CloseExcessIdle(entry, now);
        continue;
      }
      if (replica->open_connections_ == 0 && now >= entry.reconnect_at_ &&
          opens < kMaxOpensPerMaintenance) {
        Preconnect(entry, now);
        ++opens;
      }
    }
  }
  for (auto it = entries_.begin(); it != entries_.end();) {
    if (listed.count(it->first) > 0) {
      ++it;
      continue;
    }
    const Entry entry = std::move(it->second);
    it = entries_.erase(it);
    for (const IdleConnection& idle : entry.idle_) {
      --entry.replica_->idle_connections_;
      idle.connection_->Close();
    }
  }
}

}  // namespace clementinerill::gateway
