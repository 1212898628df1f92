#include "upstream/connection_pool.h"

#include <algorithm>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include "upstream/http_exchange.h"

namespace clementinerill {
namespace {

constexpr auto kConnectTimeout = std::chrono::milliseconds(500);
constexpr auto kProbeTimeout = std::chrono::milliseconds(200);

Instant Now() noexcept {
  return std::chrono::steady_clock::now();
}

// An idle connection that is readable has reached end of stream or carries
// unsolicited bytes. Both mean that the upstream has closed it.
bool IsReadable(UpstreamSession& session) {
  try {
    return session.socket().poll(Poco::Timespan(0),
                                 Poco::Net::Socket::SELECT_READ);
  } catch (const std::exception&) {
    return true;
  }
}

}  // namespace

ConnectionPool::ConnectionPool(std::string address, uint16_t port)
    : address_(std::move(address)), port_(port) {}

void ConnectionPool::SetPolicy(const ConnectionPolicy& policy) {
  const std::lock_guard lock(mutex_);
  policy_ = policy;
  while (static_cast<int>(connections_.records_.size()) >
         policy_.max_connections_) {
    const auto idle = SelectIdleConnection(
        connections_, policy_, /*requires_recent_response=*/false, Now());
    if (!idle) {
      break;
    }
    Erase(*idle);
  }
  changed_.notify_all();
}

tl::expected<LeasedConnection, AcquireError> ConnectionPool::Acquire(
    bool is_protected,
    Instant deadline) {
  std::unique_lock lock(mutex_);
  while (true) {
    LeasedConnection leased;
    if (LeaseIdleConnection(is_protected, leased)) {
      return leased;
    }
    if (CanOpenConnection(connections_, policy_)) {
      return Open(lock, /*busy=*/true, is_protected, deadline);
    }
    const auto unverified = SelectIdleConnection(
        connections_, policy_, /*requires_recent_response=*/false, Now());
    if (unverified) {
      RecordExchangeStart(connections_, *unverified, is_protected, Now());
      leased = {*unverified, entries_.at(*unverified).session_};
      lock.unlock();
      if (ProbeOrDiscard(leased)) {
        return leased;
      }
      lock.lock();
      continue;
    }
    if (changed_.wait_until(lock, deadline) == std::cv_status::timeout) {
      return tl::make_unexpected(AcquireError::kExhausted);
    }
  }
}

bool ConnectionPool::LeaseIdleConnection(bool is_protected,
                                         LeasedConnection& leased) {
  while (const auto id =
             SelectIdleConnection(connections_, policy_, is_protected, Now())) {
    const auto session = entries_.at(*id).session_;
    if (IsReadable(*session)) {
      Erase(*id);
      continue;
    }
    RecordExchangeStart(connections_, *id, is_protected, Now());
    leased = {*id, session};
    return true;
  }
  return false;
}

tl::expected<LeasedConnection, AcquireError> ConnectionPool::Open(
    std::unique_lock<std::mutex>& lock,
    bool busy,
    bool is_protected,
    Instant deadline) {
  ++connections_.opening_;
  lock.unlock();
  std::shared_ptr<UpstreamSession> session;
  AcquireError error = AcquireError::kConnect;
  try {
    const Duration timeout =
        std::min<Duration>(kConnectTimeout, deadline - Now());
    session = UpstreamSession::Connect(address_, port_, timeout);
  } catch (const Poco::Net::ConnectionRefusedException&) {
    error = AcquireError::kRefused;
  } catch (const std::exception&) {
    error = AcquireError::kConnect;
  }
  lock.lock();
  --connections_.opening_;
  changed_.notify_all();
  if (!session) {
    return tl::make_unexpected(error);
  }
  ConnectionRecord record;
  record.id_ = ++last_id_;
  record.last_response_ = Now();
  connections_.records_.push_back(record);
  entries_[record.id_] = Entry{session};
  if (busy) {
    RecordExchangeStart(connections_, record.id_, is_protected, Now());
  }
  return LeasedConnection{record.id_, session};
}

Result<UpstreamSignals> ConnectionPool::ProbeOrDiscard(
    const LeasedConnection& connection) {
  auto signals =
      RunControlExchange(*connection.session_, "GET", "/ping", kProbeTimeout);
  if (!signals) {
    Discard(connection);
  }
  return signals;
}

void ConnectionPool::Release(const LeasedConnection& connection) {
  const std::lock_guard lock(mutex_);
  const ConnectionRecord* record = FindRecord(connections_, connection.id_);
  if (record == nullptr) {
    return;
  }
  RecordExchangeCompleted(connections_, connection.id_, Now());
  const auto open = static_cast<int>(connections_.records_.size());
  if (record->condemned_ || open > policy_.max_connections_) {
    Erase(connection.id_);
  }
  changed_.notify_one();
}

bool ConnectionPool::Discard(const LeasedConnection& connection) {
  const std::lock_guard lock(mutex_);
  const ConnectionRecord* record = FindRecord(connections_, connection.id_);
  const bool silent = record != nullptr && record->condemned_;
  Erase(connection.id_);
  changed_.notify_one();
  return silent;
}

void ConnectionPool::NoteCancelConfirmed(uint64_t id) {
  const std::lock_guard lock(mutex_);
  ConnectionRecord* record = FindRecord(connections_, id);
  if (record != nullptr && record->exchange_started_) {
    record->cancel_confirmed_ = Now();
  }
}

int ConnectionPool::CondemnSilent(Instant now) {
  const std::lock_guard lock(mutex_);
  const std::vector<uint64_t> silent = FindSilent(connections_, policy_, now);
  for (const uint64_t id : silent) {
    FindRecord(connections_, id)->condemned_ = true;
    try {
      entries_.at(id).session_->socket().shutdown();
    } catch (const std::exception&) {
      // The socket has already failed; the exchange ends with its own error.
      continue;
    }
  }
  return static_cast<int>(silent.size());
}

int ConnectionPool::CountToOpen() const {
  const std::lock_guard lock(mutex_);
  return clementinerill::CountToOpen(connections_, policy_);
}

Result<UpstreamSignals> ConnectionPool::OpenAhead() {
  std::unique_lock lock(mutex_);
  if (!CanOpenConnection(connections_, policy_)) {
    return Fail("the connection limit for the upstream is reached");
  }
  const auto opened = Open(lock, /*busy=*/true, /*is_protected=*/false,
                           Now() + kConnectTimeout);
  lock.unlock();
  if (!opened) {
    return Fail("connecting to the upstream failed");
  }
  auto signals = ProbeOrDiscard(*opened);
  if (signals) {
    Release(*opened);
  }
  return signals;
}

int ConnectionPool::CountOpen() const {
  const std::lock_guard lock(mutex_);
  return static_cast<int>(connections_.records_.size()) + connections_.opening_;
}

void ConnectionPool::Erase(uint64_t id) {
  RemoveRecord(connections_, id);
  entries_.erase(id);
}

}  // namespace clementinerill
