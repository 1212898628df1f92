#include "membership/group_change.h"

#include <algorithm>

#include <catch2/catch.hpp>

#include "membership/cluster.h"
#include "membership/next_members.h"
#include "membership/timing.h"

namespace clementinerill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Names = std::vector<std::string>;

constexpr int kSpares = 3;
constexpr Duration kDeadline = milliseconds(400);

Names RandomMembers(Cluster& cluster, int size) {
  Names names = cluster.names_;
  std::shuffle(names.begin(), names.end(), cluster.random_);
  names.resize(size);
  std::sort(names.begin(), names.end());
  return names;
}

// Guards against two daemons that use one seat because they vote in groups
// with disjoint majorities, or because a witness forgot a promise when the
// group changed. Lists are seen up to 12 s apart: daemons lag by several steps.
TEST_CASE("a seat has one user while members are replaced", "[change]") {
  const int size = GENERATE(3, 5, 9);
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    INFO("size " << size << " seed " << seed);
    Cluster cluster(size + kSpares, size, seed,
                    {{"claims", 3, kDeadline}, {"billing", 2, kDeadline}});
    cluster.RunUntil(seconds(10), false);
    while (cluster.now_ < seconds(150) && cluster.violation_.empty()) {
      const Names wanted = RandomMembers(cluster, size);
      while (cluster.group_.members_ != wanted && cluster.violation_.empty()) {
        cluster.Publish(NextMembers(cluster.group_.members_, wanted),
                        cluster.Random(3) == 0 ? seconds(12) : kListSpread);
        cluster.RunUntil(cluster.now_ + kMemberChangeInterval, true);
        while (!cluster.MayPublish() && cluster.violation_.empty()) {
          cluster.Step(true);
        }
      }
    }
    cluster.Heal();
    cluster.RunUntil(cluster.now_ + seconds(20), false);
    REQUIRE(cluster.violation_ == "");
    REQUIRE(cluster.EverySeatInUse());
  }
}

// Guards against a step by two members, and against an empty group.
TEST_CASE("members change by one", "[change]") {
  CHECK(NextMembers({"a", "b", "c"}, {"c", "d", "e"}) == Names{"b", "c"});
  CHECK(NextMembers({"b", "c"}, {"c", "d", "e"}) == Names{"b", "c", "d"});
  CHECK(NextMembers({"b", "a"}, {"a", "b"}) == Names{"a", "b"});
  CHECK(NextMembers({"a"}, {}) == Names{"a"});
}

bool RanksFirst(const WitnessGroup& group, const std::string& name) {
  const auto state = MakeGroupState(group, name, 1, {}, {});
  return std::any_of(state->seats_.begin(), state->seats_.end(),
                     [&](const SeatRecord& seat) {
                       return seat.ranks_[0] == IndexOf(group, name);
                     });
}

// Replaces a member by a daemon, neither of which ranks first for a seat;
// returns false when the seed has no such pair.
bool ReplaceNonHolder(Cluster& cluster, Names& wanted) {
  wanted = cluster.group_.members_;
  const int size = static_cast<int>(wanted.size());
  std::string& member = wanted[cluster.Random(size)];
  if (RanksFirst(cluster.group_, member)) {
    return false;
  }
  const std::string joins = cluster.names_[size];
  member = joins;
  std::sort(wanted.begin(), wanted.end());
  WitnessGroup group = cluster.group_;
  group.members_ = wanted;
  return !RanksFirst(group, joins);
}

// Guards against a change of members that stops the holders: replacing a
// daemon without a seat must leave every seat in use at every moment.
TEST_CASE("replacing a non-holder interrupts no seat", "[change]") {
  const int size = GENERATE(3, 5, 9);
  int replaced = 0;
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    INFO("size " << size << " seed " << seed);
    const auto pools = std::vector<GroupPool>{
        {"claims-" + std::to_string(seed), 1, kDeadline},
        {"billing-" + std::to_string(seed), 1, kDeadline}};
    Cluster cluster(size + kSpares, size, seed, pools);
    cluster.RunUntil(seconds(15), false);
    Names wanted;
    if (!ReplaceNonHolder(cluster, wanted)) {
      continue;
    }
    ++replaced;
    while (cluster.group_.members_ != wanted) {
      cluster.Publish(NextMembers(cluster.group_.members_, wanted),
                      kListSpread);
      const Duration end = cluster.now_ + seconds(10);
      while (cluster.now_ < end) {
        cluster.Step(false);
        REQUIRE(cluster.violation_ == "");
        REQUIRE(cluster.EverySeatInUse());
      }
    }
  }
  CHECK(replaced >= 5);
}

}  // namespace
}  // namespace clementinerill
