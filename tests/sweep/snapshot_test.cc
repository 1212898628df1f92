#include "sweep/snapshot.h"

#include <catch2/catch.hpp>

namespace clementinerill {
namespace {

// Guards against pinning a snapshot that one of the services does not offer.
TEST_CASE("the newest snapshot common to all services is selected",
          "[snapshot]") {
  const std::vector<Snapshot> both = {{7, 1}, {8, 1}};
  CHECK(NewestCommonSnapshot({both, both}) == Snapshot{8, 1});
  CHECK(NewestCommonSnapshot({both, {{7, 1}}}) == Snapshot{7, 1});
  CHECK_FALSE(NewestCommonSnapshot({both, {{9, 1}}}));
}

// Guards against preferring a higher index version of an older partition map.
TEST_CASE("the partition map takes precedence over the index version",
          "[snapshot]") {
  const std::vector<Snapshot> offers = {{9, 1}, {2, 2}};
  CHECK(NewestCommonSnapshot({offers}) == Snapshot{2, 2});
}

TEST_CASE("offers survive formatting and parsing", "[snapshot]") {
  const std::vector<Snapshot> offers = {{7, 1}, {8, 2}};
  CHECK(ParseOffers(FormatOffers(offers)) == offers);
  CHECK_FALSE(ParseOffers("7@1,8"));
  CHECK_FALSE(ParseOffers("7@x"));
}

}  // namespace
}  // namespace clementinerill
