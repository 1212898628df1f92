#include "base/backoff.h"

#include <catch2/catch.hpp>

namespace clementinerill {
namespace {

using std::chrono::milliseconds;

// Guards against delays that leave their bounds or do not differ.
TEST_CASE("backoff doubles, is bounded and jittered", "[base]") {
  const BackoffPolicy policy{milliseconds(100), milliseconds(1000)};
  CHECK(BackoffDelay(policy, 0, 5) == Duration::zero());
  CHECK(BackoffDelay(policy, 1, 0) == milliseconds(50));
  CHECK(BackoffDelay(policy, 1, 1024) == milliseconds(100));
  CHECK(BackoffDelay(policy, 3, 1024) == milliseconds(400));
  CHECK(BackoffDelay(policy, 1'000'000, 1024) == milliseconds(1000));
  CHECK(BackoffDelay(policy, 3, 100) != BackoffDelay(policy, 3, 101));
}

}  // namespace
}  // namespace clementinerill
