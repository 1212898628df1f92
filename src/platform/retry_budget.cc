#include "platform/retry_budget.h"

#include <algorithm>

namespace clementinerill {

Duration ReserveRetry(RetryBudget& budget, Instant now) noexcept {
  using Seconds = std::chrono::duration<double>;
  const double elapsed = Seconds(now - budget.last_refill_).count();
  budget.last_refill_ = now;
  budget.tokens_ = std::min(
      budget.capacity_, budget.tokens_ + elapsed * budget.tokens_per_second_);
  budget.tokens_ -= 1;
  if (budget.tokens_ >= 0) {
    return Duration::zero();
  }
  const Seconds wait(-budget.tokens_ / budget.tokens_per_second_);
  return std::chrono::duration_cast<Duration>(wait);
}

void ReleaseRetry(RetryBudget& budget) noexcept {
  budget.tokens_ = std::min(budget.capacity_, budget.tokens_ + 1);
}

}  // namespace clementinerill
