#ifndef CLEMENTINERILL_PLATFORM_RETRY_BUDGET_H_
#define CLEMENTINERILL_PLATFORM_RETRY_BUDGET_H_

#include "base/time.h"

namespace clementinerill {

/// @brief A token bucket that limits retries of one process.
///
/// A first attempt is free; each retry takes one token. Tokens return with
/// time, so a process sends a bounded number of retries per second however
/// many callers wait, and a returning store isn't flooded.
struct RetryBudget {
  double tokens_ = 10;
  double capacity_ = 10;
  double tokens_per_second_ = 2;
  Instant updated_;
};

/// @brief Reserves one retry and returns how long it must wait; 0 when a token
/// is available. Later calls queue behind it.
[[nodiscard]] Duration ReserveRetry(RetryBudget& budget, Instant now) noexcept;

/// @brief Returns a reservation that was not used.
void ReleaseRetry(RetryBudget& budget) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PLATFORM_RETRY_BUDGET_H_
