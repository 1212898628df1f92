#include "connections/replica_connections.h"

#include <catch2/catch.hpp>

namespace clementinerill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Instant kStart = Instant(std::chrono::hours(1));

ReplicaConnections TwoConnections() {
  ReplicaConnections connections;
  connections.records_.resize(2);
  connections.records_[0].id_ = 1;
  connections.records_[0].last_response_ = kStart;
  connections.records_[1].id_ = 2;
  connections.records_[1].last_response_ = kStart;
  return connections;
}

// Guards against a silent connection that holds its slot until the deadline.
TEST_CASE("a stalled exchange is condemned once a later one was answered",
          "[connections]") {
  ReplicaConnections connections = TwoConnections();
  RecordExchangeStart(connections, 1, false, kStart);
  RecordExchangeStart(connections, 2, false, kStart + milliseconds(10));
  RecordExchangeCompleted(connections, 2, kStart + milliseconds(15));
  const ConnectionPolicy policy;
  CHECK(FindSilent(connections, policy, kStart + milliseconds(100)).empty());
  CHECK(FindSilent(connections, policy, kStart + milliseconds(200)) ==
        std::vector<uint64_t>{1});
}

// Guards against blaming connections when the replica itself is frozen.
TEST_CASE("a stall at every connection condemns none", "[connections]") {
  ReplicaConnections connections = TwoConnections();
  RecordExchangeStart(connections, 1, false, kStart);
  RecordExchangeStart(connections, 2, false, kStart + milliseconds(10));
  CHECK(FindSilent(connections, {}, kStart + seconds(10)).empty());
}

// Guards against cutting off a hold, which would turn it into unknown.
TEST_CASE("a protected exchange is left to its deadline", "[connections]") {
  ReplicaConnections connections = TwoConnections();
  RecordExchangeStart(connections, 1, true, kStart);
  RecordExchangeStart(connections, 2, false, kStart + milliseconds(10));
  RecordExchangeCompleted(connections, 2, kStart + milliseconds(15));
  CHECK(FindSilent(connections, {}, kStart + seconds(10)).empty());
}

// Guards against holds on a connection that went silent while idle.
TEST_CASE("proof of a connection expires", "[connections]") {
  const ReplicaConnections connections = TwoConnections();
  const ConnectionPolicy policy;
  CHECK(SelectIdleConnection(connections, policy, true,
                             kStart + milliseconds(999)));
  CHECK_FALSE(
      SelectIdleConnection(connections, policy, true, kStart + seconds(2)));
  CHECK(SelectIdleConnection(connections, policy, false, kStart + seconds(2)));
}

// Guards against opening more connections than the share.
TEST_CASE("ready connections stay within the share", "[connections]") {
  ReplicaConnections connections = TwoConnections();
  ConnectionPolicy policy;
  policy.max_connections_ = 4;
  policy.min_idle_ = 10;
  CHECK(CountToOpen(connections, policy) == 2);
  connections.opening_ = 2;
  CHECK(CountToOpen(connections, policy) == 0);
  CHECK_FALSE(CanOpenConnection(connections, policy));
}

}  // namespace
}  // namespace clementinerill
