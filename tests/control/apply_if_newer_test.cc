#include "control/apply_if_newer.h"

#include <algorithm>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "control/control_fixture.h"

namespace clementinerill {
namespace {

// Guards against a downgrade by a restored store or a late peer message.
TEST_CASE("only higher versions are applied", "[control]") {
  ConfigurationState state = MakeState("d");
  CHECK_FALSE(MayServe(state));
  CHECK(ApplyIfNewer(state, MakeTestCandidate(0), {}) == ApplyOutcome::kOlder);
  CHECK_FALSE(MayServe(state));
  CHECK(ApplyIfNewer(state, MakeTestCandidate(7), {}) ==
        ApplyOutcome::kApplied);
  CHECK(ApplyIfNewer(state, MakeTestCandidate(7), {}) == ApplyOutcome::kSame);
  CHECK(ApplyIfNewer(state, MakeTestCandidate(6, ConfigurationSource::kPeer),
                     {}) == ApplyOutcome::kOlder);
  CHECK(ApplyIfNewer(state,
                     MakeTestCandidate(7, ConfigurationSource::kStore, "x"),
                     {}) == ApplyOutcome::kDivergent);
  CHECK(state.current_->change_id_ == "c7");
  CHECK(CurrentVersion(state) == 7);
}

// Guards against an invalid document that takes the daemon out of service, is
// fetched repeatedly or hides a later valid one.
TEST_CASE("an invalid document keeps the version in force", "[control]") {
  ConfigurationState state = MakeState("d");
  ApplyIfNewer(state, MakeTestCandidate(3), {});
  RecordInvalid(state, 5, "bad");
  CHECK(CurrentVersion(state) == 3);
  CHECK(WatchVersion(state) == 5);
  CHECK_FALSE(PlanFetch(state, {{"p", 5}}, StoreRole::kPoll, {}).peer_);
  CHECK(DescribeState(state, {}, {}).problems_ ==
        std::vector<std::string>{"version 5 is invalid: bad"});
  CHECK(ApplyIfNewer(state, MakeTestCandidate(6), {}) ==
        ApplyOutcome::kApplied);
  CHECK(DescribeState(state, {}, {}).problems_.empty());
}

// Guards against a sequence of valid, duplicate, lost and invalid documents and
// store responses that lowers the version or misses the highest one.
TEST_CASE("the version never decreases", "[control][property]") {
  CHECK(rc::check("any sequence of events", [] {
    ConfigurationState state = MakeState("d");
    Instant now{};
    uint64_t highest_version = 0;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 20)));
    for (const auto& [event, number] : steps) {
      const auto version = static_cast<uint64_t>(number);
      const uint64_t before = CurrentVersion(state);
      now += std::chrono::milliseconds(number);
      switch (event) {
        case 0:
          RecordConfigurationAbsent(state, now);
          break;
        case 1:
          RecordStoreFailure(state, now);
          break;
        case 2:
          RecordInvalid(state, version, "bad");
          break;
        case 3:
          RecordStoreResponse(state, version, now);
          ApplyIfNewer(state, MakeTestCandidate(version), now);
          highest_version = std::max(highest_version, version);
          break;
        default:
          ApplyIfNewer(state,
                       MakeTestCandidate(version, ConfigurationSource::kPeer),
                       now);
          highest_version = std::max(highest_version, version);
          break;
      }
      RC_ASSERT(CurrentVersion(state) >= before);
      RC_ASSERT(CurrentVersion(state) == highest_version);
      RC_ASSERT(DescribeState(state, {}, now).version_ == highest_version);
    }
  }));
}

// Guards against a group that does not converge to the highest version when
// messages are lost, repeated and reordered and the store returns an older
// version.
TEST_CASE("a group converges to the highest version", "[control][property]") {
  CHECK(rc::check("gossip with loss", [] {
    constexpr size_t kDaemons = 5;
    std::vector<ConfigurationState> group;
    for (size_t i = 0; i < kDaemons; ++i) {
      group.push_back(MakeState("d" + std::to_string(i), kDaemons));
    }
    Instant now{};
    uint64_t highest = 0;
    // In each tick one daemon reads the store, then peers exchange messages.
    const auto exchange = [&](int loss_mask) {
      now += kPeerRequestTimeout;
      for (size_t i = 0; i < kDaemons; ++i) {
        std::vector<PeerVersion> peers;
        for (const ConfigurationState& peer : group) {
          peers.push_back({peer.daemon_, CurrentVersion(peer)});
        }
        const auto plan = PlanFetch(group[i], peers, StoreRole::kPoll, now);
        if (!plan.peer_) {
          continue;
        }
        RecordPeerRequest(group[i], now);
        const size_t responder = plan.peer_->back() - '0';
        if ((loss_mask >> i & 1) == 0) {
          const uint64_t version = CurrentVersion(group[responder]);
          ApplyIfNewer(group[i],
                       MakeTestCandidate(version, ConfigurationSource::kPeer),
                       now);
        }
      }
    };
    const auto ticks = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 30), rc::gen::inRange(0, 32)));
    for (const auto& [store_version, loss_mask] : ticks) {
      const auto version = static_cast<uint64_t>(store_version);
      const size_t reader = static_cast<size_t>(loss_mask) % kDaemons;
      ApplyIfNewer(group[reader], MakeTestCandidate(version), now);
      highest = std::max(highest, version);
      exchange(loss_mask);
    }
    exchange(0);
    exchange(0);
    for (const ConfigurationState& daemon : group) {
      RC_ASSERT(CurrentVersion(daemon) == highest);
    }
  }));
}

}  // namespace
}  // namespace clementinerill
