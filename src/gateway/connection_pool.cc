#include "gateway/connection_pool.h"

#include <algorithm>
#include <set>
#include <utility>

#include "traffic/connection_shares.h"

namespace clementinerill::gateway {
namespace {

// Longest answer of a replica; a VM has 160 MB at least.
constexpr uint64_t kMostAnswerBytes = 16 * 1024 * 1024;

// A connection is used until this long before the replica closes it, so that
// a request does not cross the close.
constexpr Duration kIdleMargin = std::chrono::milliseconds(300);

// A connection beyond the share of this daemon is closed after this idle time:
// daemons take turns in using it.
constexpr Duration kSpareIdle = std::chrono::milliseconds(500);

// Pause before connecting again to a replica that could not be reached.
constexpr Duration kConnectPause = std::chrono::milliseconds(1000);

// Connections opened in advance in one period, so that a start or a return of
// many replicas does not occupy the processor.
constexpr int kOpensPerPeriod = 12;

bool IsWanted(const traffic::FleetState& fleet,
              const traffic::ReplicaState& replica) {
  return !replica.misdirected_ && !replica.entry_.leaving_since_ &&
         fleet.view_->evacuated_.count(replica.entry_.failure_domain_) == 0;
}

}  // namespace

std::shared_ptr<http::ClientConnection> ConnectionPool::MakeConnection(
    const std::shared_ptr<traffic::ReplicaState>& replica) {
  auto connection = std::make_shared<http::ClientConnection>(
      loop_, replica->entry_.address_, replica->entry_.port_, kMostAnswerBytes);
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
    Duration most_idle,
    Instant now) {
  const auto found = entries_.find(replica.get());
  if (found != entries_.end()) {
    CloseExpired(found->second, now);
    auto& idle = found->second.idle_;
    if (!idle.empty() && now - idle.back().connection_->LastUse() < most_idle) {
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
        now + std::max(*keep_alive - kIdleMargin, Duration::zero());
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
  const auto place = std::find_if(idle.begin(), idle.end(),
                                  [connection](const IdleConnection& i) {
                                    return i.connection_.get() == connection;
                                  });
  if (place != idle.end()) {
    idle.erase(place);
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

void ConnectionPool::CloseIdle(Entry& entry, Instant now) {
  for (IdleConnection& idle : entry.idle_) {
    if (now - idle.connection_->LastUse() >= kSpareIdle) {
      idle.usable_until_ = now;
    }
  }
  CloseExpired(entry, now);
}

void ConnectionPool::OpenFirst(Entry& entry, Instant now) {
  const auto connection = MakeConnection(entry.replica_);
  AddIdle(entry, {connection});
  entry.open_again_ = now + kConnectPause;
  connection->Open();
}

void ConnectionPool::Maintain(const traffic::FleetState& fleet, Instant now) {
  if (!fleet.view_) {
    return;
  }
  std::set<traffic::ReplicaState*> present;
  int opens = 0;
  for (const auto& [name, service] : fleet.services_) {
    for (const auto& replica : service->replicas_) {
      present.insert(replica.get());
      if (!service->is_routed_ || !IsWanted(fleet, *replica)) {
        continue;
      }
      Entry& entry = entries_[replica.get()];
      entry.replica_ = replica;
      CloseExpired(entry, now);
      if (!traffic::MayKeepIdle(fleet, *service, *replica)) {
        CloseIdle(entry, now);
        continue;
      }
      if (replica->open_connections_ == 0 && now >= entry.open_again_ &&
          opens < kOpensPerPeriod) {
        OpenFirst(entry, now);
        ++opens;
      }
    }
  }
  for (auto it = entries_.begin(); it != entries_.end();) {
    if (present.count(it->first) > 0) {
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
