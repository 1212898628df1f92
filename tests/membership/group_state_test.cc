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

// Guards against a restarted witness that grants a seat to a second holder
// while the lease of the first still depends on an echo from before the
// restart.
TEST_CASE("a daemon is not a witness until its startup delay has passed",
          "[membership]") {
  GroupState state = MakeState();
  ReceiveHeartbeat(state, 1, EchoFrom(state, 1), kStart);
  const auto before = kStart + kWitnessStartupDelay - milliseconds(1);
  const auto after = kStart + kWitnessStartupDelay;
  CHECK_FALSE(MakeHeartbeat(state, kReady, 1, before).has_echo_);
  CHECK(MakeHeartbeat(state, kReady, 1, after).has_echo_);

  Heartbeat echo = EchoFrom(state, 1999);
  echo.witness_ = false;
  ReceiveHeartbeat(state, 1, echo, after);
  Advance(state, kReady, after);
  CHECK_FALSE(HasMajority(state, after));
}

// Guards against echoes to an earlier process of the same name, whose send
// times count from another process start.
TEST_CASE("an echo to an earlier process is not counted", "[membership]") {
  GroupState state = MakeState();
  const auto now = kStart + seconds(3);
  Heartbeat echo = EchoFrom(state, 2900);
  echo.echo_incarnation_ = 6;
  CHECK(ReceiveHeartbeat(state, 1, echo, now));
  Advance(state, kReady, now);
  CHECK_FALSE(HasMajority(state, now));
}

// Guards against a lease that starts when the echo arrives: the witness may
// have granted the seat to another member before that lease ends.
TEST_CASE("the lease starts at the send time of the echoed heartbeat",
          "[membership]") {
  GroupState state = MakeState();
  const auto now = kStart + seconds(3);
  ReceiveHeartbeat(state, 1, EchoFrom(state, 2000), now);
  Advance(state, kReady, now);
  CHECK(HasMajority(state,
                    kStart + seconds(2) + kLeaseDuration - milliseconds(1)));
  CHECK_FALSE(HasMajority(state, kStart + seconds(2) + kLeaseDuration));
}

// Guards against sender indexes out of range and against votes of another
// group.
TEST_CASE("a heartbeat of another group or an unknown sender is rejected",
          "[membership]") {
  GroupState state = MakeState();
  CHECK_FALSE(ReceiveHeartbeat(state, 3, EchoFrom(state, 1), kStart));
  CHECK_FALSE(ReceiveHeartbeat(state, 0, EchoFrom(state, 1), kStart));
  Heartbeat other = EchoFrom(state, 1);
  other.group_ ^= 1U;
  CHECK_FALSE(ReceiveHeartbeat(state, 1, other, kStart));
}

}  // namespace
}  // namespace clementinerill
