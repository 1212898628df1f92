#include "sweep/snapshot.h"

#include <catch2/catch.hpp>

namespace clementinerill {
namespace {

// Guards against pinning a version that one service lacks.
TEST_CASE("the newest snapshot of all services is pinned", "[snapshot]") {
  const std::vector<Snapshot> both = {{7, 1}, {8, 1}};
  CHECK(NewestCommonSnapshot({both, both}) == Snapshot{8, 1});
  CHECK(NewestCommonSnapshot({both, {{7, 1}}}) == Snapshot{7, 1});
  CHECK_FALSE(NewestCommonSnapshot({both, {{9, 1}}}));
}

// Guards against an old partition map with a high index version.
TEST_CASE("a newer partition map goes before the index version", "[snapshot]") {
  const std::vector<Snapshot> offers = {{9, 1}, {2, 2}};
  CHECK(NewestCommonSnapshot({offers}) == Snapshot{2, 2});
}

TEST_CASE("offers survive writing and reading", "[snapshot]") {
  const std::vector<Snapshot> offers = {{7, 1}, {8, 2}};
  CHECK(ParseOffers(FormatOffers(offers)) == offers);
  CHECK_FALSE(ParseOffers("7@1,8"));
  CHECK_FALSE(ParseOffers("7@x"));
}

}  // namespace
}  // namespace clementinerill
