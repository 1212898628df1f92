#include "base/backoff.h"

#include <catch2/catch.hpp>

namespace clementinerill {
namespace {

using std::chrono::milliseconds;

// Guards against delays outside their limits, and against missing jitter.
TEST_CASE("the backoff doubles up to its maximum and has jitter", "[base]") {
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
