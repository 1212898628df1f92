#include "membership/group_state.h"

#include <catch2/catch.hpp>

#include "membership/timing.h"

namespace clementinerill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const SelfStatus kReady{1, 0, false};
constexpr Instant kStart{std::chrono::hours(1)};

GroupState MakeState() {
  WitnessGroup group{"all", {"a", "b", "c"}, {{"p", 1, {}}}};
  return *MakeGroupState(std::move(group), "a", 7, kStart, kStart);
}

Heartbeat EchoFrom(const GroupState& state, uint64_t sent) {
  Heartbeat heartbeat;
  heartbeat.group_ = state.digest_;
  heartbeat.incarnation_ = 9;
  heartbeat.sent_ms_ = sent;
  heartbeat.has_echo_ = true;
  heartbeat.echo_incarnation_ = state.incarnation_;
  heartbeat.echo_sent_ms_ = sent;
  heartbeat.witness_ = true;
  return heartbeat;
}

// Guards against a restarted witness that supports a second holder while the
// first still counts an echo from before the restart.
TEST_CASE("a restarted daemon is no witness at first", "[membership]") {
  GroupState state = MakeState();
  ReceiveHeartbeat(state, 1, EchoFrom(state, 1), kStart);
  const auto before = kStart + kWitnessWait - milliseconds(1);
  const auto after = kStart + kWitnessWait;
  CHECK_FALSE(MakeHeartbeat(state, kReady, 1, before).has_echo_);
  CHECK(MakeHeartbeat(state, kReady, 1, after).has_echo_);

  Heartbeat echo = EchoFrom(state, 1999);
  echo.witness_ = false;
  ReceiveHeartbeat(state, 1, echo, after);
  Advance(state, kReady, after);
  CHECK_FALSE(HasMajority(state, after));
}

// Guards against echoes that were meant for an earlier process of the same
// name, whose clock readings mean something else.
TEST_CASE("an echo for an earlier process does not count", "[membership]") {
  GroupState state = MakeState();
  const auto now = kStart + seconds(3);
  Heartbeat echo = EchoFrom(state, 2900);
  echo.echo_incarnation_ = 6;
  CHECK(ReceiveHeartbeat(state, 1, echo, now));
  Advance(state, kReady, now);
  CHECK_FALSE(HasMajority(state, now));
}

// Guards against a lease that is counted from the arrival of the echo.
TEST_CASE("the lease counts from the send time", "[membership]") {
  GroupState state = MakeState();
  const auto now = kStart + seconds(3);
  ReceiveHeartbeat(state, 1, EchoFrom(state, 2000), now);
  Advance(state, kReady, now);
  CHECK(HasMajority(state, kStart + seconds(2) + kSelfFence - milliseconds(1)));
  CHECK_FALSE(HasMajority(state, kStart + seconds(2) + kSelfFence));
}

// Guards against indexes out of range and against another group's votes.
TEST_CASE("a heartbeat of another group is not counted", "[membership]") {
  GroupState state = MakeState();
  CHECK_FALSE(ReceiveHeartbeat(state, 3, EchoFrom(state, 1), kStart));
  CHECK_FALSE(ReceiveHeartbeat(state, 0, EchoFrom(state, 1), kStart));
  Heartbeat other = EchoFrom(state, 1);
  other.group_ ^= 1U;
  CHECK_FALSE(ReceiveHeartbeat(state, 1, other, kStart));
}

}  // namespace
}  // namespace clementinerill
