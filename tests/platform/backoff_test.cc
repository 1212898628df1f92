#include "platform/backoff.h"

#include <catch2/catch.hpp>

#include "platform/retry_budget.h"

namespace clementinerill {
namespace {

using std::chrono::milliseconds;

// Guards against delays that leave their bounds or do not differ.
TEST_CASE("backoff doubles, is bounded and jittered", "[platform]") {
  const BackoffPolicy policy{milliseconds(100), milliseconds(1000)};
  CHECK(BackoffDelay(policy, 0, 5) == Duration::zero());
  CHECK(BackoffDelay(policy, 1, 0) == milliseconds(50));
  CHECK(BackoffDelay(policy, 1, 1024) == milliseconds(100));
  CHECK(BackoffDelay(policy, 3, 1024) == milliseconds(400));
  CHECK(BackoffDelay(policy, 1'000'000, 1024) == milliseconds(1000));
  CHECK(BackoffDelay(policy, 3, 100) != BackoffDelay(policy, 3, 101));
}

// Guards against a budget that never refills or saves up without limit.
TEST_CASE("retry tokens return with time", "[platform]") {
  const Instant start{};
  RetryBudget budget{1, 2, 4, start};
  CHECK(ReserveRetry(budget, start) == Duration::zero());
  CHECK(ReserveRetry(budget, start) == milliseconds(250));
  ReleaseRetry(budget);
  const Instant later = start + std::chrono::hours(1);
  CHECK(ReserveRetry(budget, later) == Duration::zero());
  CHECK(ReserveRetry(budget, later) == Duration::zero());
  CHECK(ReserveRetry(budget, later) == milliseconds(250));
}

}  // namespace
}  // namespace clementinerill
