#include <catch2/catch.hpp>

#include "control/control_fixture.h"

namespace clementinerill {
namespace {

using std::chrono::seconds;

VersionReport Report(const char* daemon, uint64_t version) {
  return {daemon, version, 0, {}};
}

// Guards against a store that does not respond being shown as one that holds no
// configuration.
TEST_CASE("the phase tells why a daemon has no configuration", "[control]") {
  ConfigurationState state = MakeState("d");
  Instant now{};
  CHECK(DescribeState(state, {}, now).phase_ == ConfigurationPhase::kWaiting);
  CHECK(DescribeState(state, {}, now).store_ == StoreHealth::kNotAsked);
  RecordStoreFailure(state, now);
  CHECK(DescribeState(state, {}, now).phase_ == ConfigurationPhase::kWaiting);
  RecordConfigurationAbsent(state, now);
  CHECK(DescribeState(state, {}, now).phase_ == ConfigurationPhase::kNoneYet);
  CHECK_FALSE(MayServe(state));
  ApplyIfNewer(state, MakeTestCandidate(1), now);
  CHECK(DescribeState(state, {}, now).phase_ == ConfigurationPhase::kInForce);
}

// Guards against an outage that is not reported and against one that is
// reported for a single failure.
TEST_CASE("an outage of the store is reported", "[control]") {
  ConfigurationState state = MakeState("d");
  Instant now{};
  RecordStoreResponse(state, 4, now);
  ApplyIfNewer(state, MakeTestCandidate(4), now);
  now += seconds(1);
  RecordStoreFailure(state, now);
  CHECK(DescribeState(state, {}, now).store_ == StoreHealth::kAvailable);
  now += seconds(9);
  RecordStoreFailure(state, now);
  const auto status = DescribeState(state, {{"p", 6}}, now);
  CHECK(status.store_ == StoreHealth::kOutage);
  CHECK(status.outage_ == Duration(seconds(9)));
  CHECK(status.staleness_ == Duration(seconds(10)));
  CHECK(status.newest_known_version_ == 6);
  RecordStoreUnchanged(state, now);
  CHECK(DescribeState(state, {}, now).store_ == StoreHealth::kAvailable);
}

// Guards against operators not being told that a restored store lost versions.
TEST_CASE("a store that lost versions is reported", "[control]") {
  ConfigurationState state = MakeState("d");
  ApplyIfNewer(state, MakeTestCandidate(9), {});
  RecordStoreResponse(state, 5, {});
  const auto status = DescribeState(state, {}, {});
  CHECK(status.store_ == StoreHealth::kBehind);
  CHECK(status.version_ == 9);
  REQUIRE(status.problems_.size() == 1);
  CHECK(status.problems_[0] ==
        "the store last answered with version 5, below version 9 in force");
}

// Guards against a change that a peer delivers before the next read of the
// store being reported as a store that lost versions.
TEST_CASE("a peer may be ahead of the last store read", "[control]") {
  ConfigurationState state = MakeState("d");
  RecordStoreResponse(state, 5, {});
  ApplyIfNewer(state, MakeTestCandidate(5), {});
  ApplyIfNewer(state, MakeTestCandidate(9, ConfigurationSource::kPeer), {});
  CHECK(DescribeState(state, {}, {}).store_ == StoreHealth::kAvailable);
}

// Guards against counts that omit live daemons without the version.
TEST_CASE("a change progresses from accepted to done", "[control]") {
  ChangeProgress progress;
  progress.change_ = {5, "c5"};
  CHECK(Describe(progress) == "accepted");
  UpdateProgress(progress, {});
  CHECK(Describe(progress) == "accepted");
  UpdateProgress(progress, {Report("a", 5), Report("b", 6), Report("c", 4)});
  CHECK(Describe(progress) == "in force at 2 of 3");
  UpdateProgress(progress,
                 {Report("a", 5), Report("b", 6), {"c", 4, 5, "bad"}});
  CHECK(Describe(progress) ==
        "in force at 2 of 3: c reports it as invalid: bad");
  UpdateProgress(progress, {Report("a", 5), Report("b", 6), Report("c", 5)});
  CHECK(Describe(progress) == "done");
  // A daemon that has just started has no version yet.
  UpdateProgress(progress, {Report("a", 5), Report("d", 0)});
  CHECK(Describe(progress) == "done");
}

// Guards against a rolled-back change that is later shown as done.
TEST_CASE("a rolled-back change stays rolled back", "[control]") {
  ChangeProgress progress;
  progress.change_ = {5, "c5"};
  RecordRollback(progress, "route search: errors rose");
  UpdateProgress(progress, {Report("a", 6)});
  CHECK(Describe(progress) == "rolled back: route search: errors rose");
}

// Guards against a fleet status without a writer or with several, and against a
// parser that does not match the serializer.
TEST_CASE("the fleet status has one writer and round-trips", "[control]") {
  const std::vector<std::string> members = {"a", "b", "c"};
  int writers = 0;
  for (const std::string& member : members) {
    writers += WritesFleetStatus(member, members) ? 1 : 0;
  }
  CHECK(writers == 1);
  const FleetStatus status{{{"a", 5, 6, "bad"}}, {{4, "errors rose"}}};
  const auto read = ParseFleetStatus(ToJsonText(status, "id"));
  REQUIRE(read);
  CHECK(ToJsonText(*read, "id") == ToJsonText(status, "id"));
  CHECK_FALSE(ParseFleetStatus("{}"));
  CHECK_FALSE(ParseFleetStatus(R"({"daemons": [{}], "rolled_back": []})"));
}

}  // namespace
}  // namespace clementinerill
