#include "control/fetch_plan.h"

#include <algorithm>
#include <set>

#include <catch2/catch.hpp>

#include "control/control_fixture.h"
#include "control/store_schedule.h"

namespace clementinerill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a load peak at the store when a whole group restarts.
TEST_CASE("a restarted group spreads its first reads", "[control]") {
  constexpr int kGroupSize = 154;
  std::vector<Duration> delays;
  for (int i = 0; i < kGroupSize; ++i) {
    delays.push_back(StartDelay("daemon-" + std::to_string(i), kGroupSize));
  }
  std::sort(delays.begin(), delays.end());
  CHECK(delays.back() <=
        milliseconds(1000 * kGroupSize / kStartReadsPerSecond));
  size_t peak = 0;
  for (size_t i = 0; i < delays.size(); ++i) {
    const auto end = std::upper_bound(delays.begin(), delays.end(),
                                      delays[i] + milliseconds(100));
    peak = std::max(peak, static_cast<size_t>(end - delays.begin()) - i);
  }
  // The mean is 5 reads per 100 ms.
  CHECK(peak <= 15);
  CHECK(StartDelay("daemon-1", 1) <= milliseconds(20));
}

// Guards against a start that depends on the store although a peer has a
// configuration, and against a start that never calls the store.
TEST_CASE("a starting daemon queries peers first", "[control]") {
  ConfigurationState state = MakeState("daemon-3", 154);
  const Instant now = state.started_;
  const auto plan =
      PlanFetch(state, {{"a", 0}, {"b", 4}}, StoreRole::kPoll, now);
  CHECK(plan.peer_ == "b");
  CHECK_FALSE(plan.store_due_);
  const auto alone = PlanFetch(state, {{"a", 0}}, StoreRole::kPoll, now);
  CHECK_FALSE(alone.peer_);
  CHECK(PlanFetch(state, {}, StoreRole::kPoll, now + seconds(4)).store_due_);
}

// Guards against a daemon that stays behind its peers while the store returns
// an older version, and against endless retries of an unresponsive peer.
TEST_CASE("a peer with a higher version gets a request", "[control]") {
  ConfigurationState state = MakeState("d");
  ApplyIfNewer(state, MakeTestCandidate(5), {});
  RecordStoreResponse(state, 5, {});
  const std::vector<PeerVersion> peers = {{"a", 9}, {"b", 9}, {"c", 4}};
  std::set<std::string> requested_peers;
  Instant now = state.started_;
  for (int i = 0; i < 4; ++i) {
    const auto plan = PlanFetch(state, peers, StoreRole::kPoll, now);
    REQUIRE(plan.peer_);
    requested_peers.insert(*plan.peer_);
    RecordPeerRequest(state, now);
    CHECK_FALSE(PlanFetch(state, peers, StoreRole::kPoll, now).peer_);
    now += kPeerRequestTimeout;
  }
  CHECK(requested_peers == std::set<std::string>{"a", "b"});
  ApplyIfNewer(state, MakeTestCandidate(9, ConfigurationSource::kPeer), now);
  CHECK_FALSE(PlanFetch(state, peers, StoreRole::kPoll, now).peer_);
}

// Guards against daemons that all call a recovering store at the same time.
TEST_CASE("calls to a failing store back off with jitter", "[control]") {
  std::set<Instant> next_calls;
  for (int i = 0; i < 50; ++i) {
    ConfigurationState state = MakeState("daemon-" + std::to_string(i));
    for (int failures = 0; failures < 20; ++failures) {
      RecordStoreAttempt(state, state.started_);
      RecordStoreFailure(state, state.started_);
    }
    const Instant next = NextStoreCall(state, StoreRole::kWatch);
    CHECK(next >= state.started_ + kMaxStoreBackoff / 2);
    CHECK(next <= state.started_ + kMaxStoreBackoff * 3 / 2);
    next_calls.insert(next);
    RecordStoreUnchanged(state, state.started_);
    CHECK(NextStoreCall(state, StoreRole::kWatch) == state.started_);
    CHECK(NextStoreCall(state, StoreRole::kPoll) >=
          state.started_ + kPollInterval / 2);
  }
  CHECK(next_calls.size() == 50);
}

// Guards against a group without a watch or with one watch per daemon.
TEST_CASE("a group keeps two watches open", "[control]") {
  std::vector<std::string> members;
  for (int i = 0; i < 154; ++i) {
    members.push_back("daemon-" + std::to_string(i));
  }
  size_t watchers = 0;
  for (const std::string& member : members) {
    watchers += RoleOf(member, members) == StoreRole::kWatch ? 1 : 0;
  }
  CHECK(watchers == kWatchersPerGroup);
  CHECK(RoleOf("alone", {}) == StoreRole::kWatch);
}

}  // namespace
}  // namespace clementinerill
