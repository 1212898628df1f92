#include "organisations/view_proof.h"

#include <catch2/catch.hpp>

namespace clementinerill::organisations {
namespace {

using std::chrono::milliseconds;

constexpr BootInstant kNow{std::chrono::hours(1)};
constexpr Duration kMaxAge = milliseconds(4900);

// Guards against keyed requests on a configuration that may have been replaced
// longer ago than the bound.
TEST_CASE("A view is recent only up to the maximum age", "[view_proof]") {
  CHECK(IsRecent({kNow - milliseconds(4899)}, kMaxAge, kNow));
  CHECK_FALSE(IsRecent({kNow - milliseconds(4900)}, kMaxAge, kNow));
}

TEST_CASE("A view without a proof is not recent", "[view_proof]") {
  CHECK_FALSE(IsRecent({}, kMaxAge, kNow));
}

TEST_CASE("Without a maximum age no proof is required", "[view_proof]") {
  CHECK(IsRecent({}, std::nullopt, kNow));
}

}  // namespace
}  // namespace clementinerill::organisations
