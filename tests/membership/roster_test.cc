#include "membership/roster.h"

#include <algorithm>

#include <catch2/catch.hpp>

#include "membership/witness_group.h"

namespace clementinerill {
namespace {

using Names = std::vector<std::string>;

Member Listed(const std::string& name) {
  return {name, "10.0.0.1", 7000, 0, true, false};
}

// Guards against an old list that overwrites a newer one, and against a delayed
// list that overwrites what a daemon has announced about itself.
TEST_CASE("older lists are ignored and announcements are kept", "[roster]") {
  Roster roster;
  CHECK(ApplyAnnouncement(roster, {"a", "10.0.0.9", 7001, 5, false, true}));
  CHECK(ListedNames(roster).empty());
  CHECK(ApplyVmList(roster, 2, {Listed("a"), Listed("b")}));
  CHECK_FALSE(ApplyVmList(roster, 1, {Listed("c")}));
  CHECK(ListedNames(roster) == Names{"a", "b"});
  CHECK(roster.members_["a"].address_ == "10.0.0.9");
  CHECK(roster.members_["a"].leaving_);
}

// Guards against votes of daemons that the platform no longer lists.
TEST_CASE("a member missing from the list does not vote", "[roster]") {
  Roster roster;
  ApplyVmList(roster, 1, {Listed("a"), Listed("b")});
  ApplyAnnouncement(roster, {"a", "10.0.0.9", 7001, 5, false, false});
  ApplyVmList(roster, 2, {});
  CHECK(ListedNames(roster).empty());
  CHECK(roster.members_.size() == 1);
  RemoveUnlisted(roster, "a");
  CHECK(roster.members_.empty());
}

// Guards against heartbeat traffic that grows with the size of the fleet.
TEST_CASE("large fleets are divided into one group per pool", "[roster]") {
  Names names;
  names.reserve(100);
  for (int i = 0; i < 100; ++i) {
    names.push_back("daemon-" + std::to_string(i));
  }
  const auto groups = MakeWitnessGroups(names, {{"p", 20, {}}, {"q", 3, {}}});
  REQUIRE(groups.size() == 2);
  CHECK(groups[0].members_.size() == kMaxGroupSize);
  CHECK(groups[0].members_ != groups[1].members_);
  CHECK(IndexOf(groups[0], groups[0].members_[20]) == 20);
  CHECK(IndexOf(groups[0], "stranger") == -1);
}

}  // namespace
}  // namespace clementinerill
