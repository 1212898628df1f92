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

constexpr int kSpareDaemons = 3;
constexpr Duration kDeadline = milliseconds(400);

Names RandomMembers(Cluster& cluster, int size) {
  Names names = cluster.names_;
  std::shuffle(names.begin(), names.end(), cluster.random_);
  names.resize(size);
  std::sort(names.begin(), names.end());
  return names;
}

// Guards against two daemons that use one seat because their groups have
// disjoint majorities, or because a witness lost a grant when the group
// changed. Daemons see lists up to 12 s apart, so they may be several changes
// behind.
TEST_CASE("a seat has one user while members are replaced", "[change]") {
  const int size = GENERATE(3, 5, 9);
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    INFO("size " << size << " seed " << seed);
    Cluster cluster(size + kSpareDaemons, size, seed,
                    {{"claims", 3, kDeadline}, {"billing", 2, kDeadline}});
    cluster.RunUntil(seconds(10), false);
    while (cluster.now_ < seconds(150) && cluster.violation_.empty()) {
      const Names wanted = RandomMembers(cluster, size);
      while (cluster.group_.members_ != wanted && cluster.violation_.empty()) {
        cluster.PublishList(
            NextMembers(cluster.group_.members_, wanted),
            cluster.Random(3) == 0 ? seconds(12) : kMaxListDelay);
        cluster.RunUntil(cluster.now_ + kMemberChangeInterval, true);
        while (!cluster.MayPublishList() && cluster.violation_.empty()) {
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

// Guards against changes by two members at once, after which majorities need
// not intersect, and against an empty group.
TEST_CASE("members change one at a time", "[change]") {
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

// Sets `wanted` to the group with one member replaced by a spare daemon;
// returns false when either of the two ranks first for a seat.
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

// Guards against membership changes that interrupt the holders: while a daemon
// without a seat is replaced, every seat must be in use in every step.
TEST_CASE("replacing a member without a seat interrupts no seat", "[change]") {
  const int size = GENERATE(3, 5, 9);
  int replaced = 0;
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    INFO("size " << size << " seed " << seed);
    const auto pools = std::vector<GroupPool>{
        {"claims-" + std::to_string(seed), 1, kDeadline},
        {"billing-" + std::to_string(seed), 1, kDeadline}};
    Cluster cluster(size + kSpareDaemons, size, seed, pools);
    cluster.RunUntil(seconds(15), false);
    Names wanted;
    if (!ReplaceNonHolder(cluster, wanted)) {
      continue;
    }
    ++replaced;
    while (cluster.group_.members_ != wanted) {
      cluster.PublishList(NextMembers(cluster.group_.members_, wanted),
                          kMaxListDelay);
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
