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

// A silent connection must not keep its slot until the deadline.
TEST_CASE("a stalled connection is condemned after a later exchange completes",
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

// If the replica itself is unresponsive, its connections are not at fault.
TEST_CASE("a stall on all connections condemns none of them", "[connections]") {
  ReplicaConnections connections = TwoConnections();
  RecordExchangeStart(connections, 1, false, kStart);
  RecordExchangeStart(connections, 2, false, kStart + milliseconds(10));
  CHECK(FindSilent(connections, {}, kStart + seconds(10)).empty());
}

// Closing the connection of a hold would make the result of the hold unknown.
TEST_CASE("a protected exchange runs until its deadline", "[connections]") {
  ReplicaConnections connections = TwoConnections();
  RecordExchangeStart(connections, 1, true, kStart);
  RecordExchangeStart(connections, 2, false, kStart + milliseconds(10));
  RecordExchangeCompleted(connections, 2, kStart + milliseconds(15));
  CHECK(FindSilent(connections, {}, kStart + seconds(10)).empty());
}

// A hold must not be sent on a connection that went silent while it was idle.
TEST_CASE("an idle connection without a recent response is not selected",
          "[connections]") {
  const ReplicaConnections connections = TwoConnections();
  const ConnectionPolicy policy;
  CHECK(SelectIdleConnection(connections, policy, true,
                             kStart + milliseconds(999)));
  CHECK_FALSE(
      SelectIdleConnection(connections, policy, true, kStart + seconds(2)));
  CHECK(SelectIdleConnection(connections, policy, false, kStart + seconds(2)));
}

// The minimum of idle connections must not exceed the maximum of connections.
TEST_CASE("opened connections stay within the maximum", "[connections]") {
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
