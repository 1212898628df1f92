#include "duty/token.h"

#include <catch2/catch.hpp>

namespace clementinerill::duty {
namespace {

constexpr int64_t kEra = int64_t{1} << 32;

TEST_CASE("Within an era the token rises by one", "[token]") {
  CHECK(NextToken(12, 0, 100) == 13);
  CHECK(NextToken(3 * kEra + 7, 3, 100) == 3 * kEra + 8);
}

// Guards against the token of a holder of the new era whose object was replaced
// by a late write that was meant for the earlier one.
TEST_CASE("The first token of an era is above those that it may have had",
          "[token]") {
  CHECK(NextToken(3 * kEra + 7, 4, 100) == 4 * kEra + 100);
  CHECK(NextToken(0, 4, 100) == 4 * kEra + 100);
}

TEST_CASE("The first token is 1 or more", "[token]") {
  CHECK(NextToken(0, 0, 0) == 1);
}

// Guards against a token that the API decodes as another number, and against
// one that is lower than an earlier one.
TEST_CASE("There is no token that is not exact or not higher", "[token]") {
  CHECK_FALSE(NextToken(0, int64_t{1} << 21, 1));
  CHECK(NextToken(0, (int64_t{1} << 21) - 1, 1) < (int64_t{1} << 53));
  CHECK_FALSE(NextToken(kEra - 1, 0, 1));
  CHECK_FALSE(NextToken(3 * kEra + 7, 2, 100));
}

}  // namespace
}  // namespace clementinerill::duty
