#include "platform/retry_budget.h"

#include <catch2/catch.hpp>

namespace clementinerill {
namespace {

using std::chrono::milliseconds;

// Guards against a budget that never refills or that exceeds its capacity.
TEST_CASE("retry tokens are refilled over time up to the capacity",
          "[platform]") {
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
