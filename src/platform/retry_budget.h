#ifndef CLEMENTINERILL_PLATFORM_RETRY_BUDGET_H_
#define CLEMENTINERILL_PLATFORM_RETRY_BUDGET_H_

#include "base/time.h"

namespace clementinerill {

/// @brief Token bucket that limits the retry rate of one client.
///
/// A first attempt is free; each retry takes one token. Tokens are refilled at
/// a constant rate, so the number of retries per second is bounded however many
/// callers wait, and a recovering store is not overloaded by retries.
struct RetryBudget {
  double tokens_ = 10;
  double capacity_ = 10;
  double tokens_per_second_ = 2;
  Instant last_refill_;
};

/// @brief Reserves one token and returns the delay until the retry may start; 0
/// if a token is available. Later reservations get longer delays.
[[nodiscard]] Duration ReserveRetry(RetryBudget& budget, Instant now) noexcept;

/// @brief Returns the token of an unused reservation.
void ReleaseRetry(RetryBudget& budget) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PLATFORM_RETRY_BUDGET_H_
