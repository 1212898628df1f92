#include "base/rendezvous.h"

#include <algorithm>

#include <catch2/catch.hpp>

namespace clementinerill {
namespace {

// Guards against a removal that moves keys between the remaining members.
TEST_CASE("removing a member keeps the order of the others", "[rendezvous]") {
  const std::vector<std::string> members = {"a", "b", "c", "d"};
  auto ranked = RankByRendezvous("pool-1", members);
  const std::string removed = ranked[1];
  ranked.erase(ranked.begin() + 1);

  std::vector<std::string> rest = members;
  rest.erase(std::find(rest.begin(), rest.end(), removed));

  CHECK(RankByRendezvous("pool-1", rest) == ranked);
}

// Guards against processes that disagree because they list the same members in
// another order.
TEST_CASE("the order of the input does not matter", "[rendezvous]") {
  CHECK(RankByRendezvous("k", {"a", "b", "c"}) ==
        RankByRendezvous("k", {"c", "a", "b"}));
}

// Guards against a rank that differs from the order that it stands for.
TEST_CASE("the rank of a member is its position in the order", "[rendezvous]") {
  const std::vector<std::string> members = {"a", "b", "c", "d"};
  const auto ranked = RankByRendezvous("pool-1", members);
  for (size_t i = 0; i < ranked.size(); ++i) {
    CHECK(RendezvousRank("pool-1", ranked[i], members) == i);
  }
  CHECK_FALSE(RendezvousRank("pool-1", "e", members));
}

}  // namespace
}  // namespace clementinerill
