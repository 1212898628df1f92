#ifndef CLEMENTINERILL_LIMITS_ATTEMPT_BUDGET_H_
#define CLEMENTINERILL_LIMITS_ATTEMPT_BUDGET_H_

#include <cstdint>

#include <tl/expected.hpp>

#include "limits/refusal_reason.h"

namespace clementinerill {

/// @brief Tokens added per primary attempt, in thousandths of an attempt.
inline constexpr int64_t kHedgeRefillPermille = 50;
inline constexpr int64_t kRetryRefillPermille = 80;

/// @brief Bucket capacity: extra attempts allowed without any primary attempt.
///
/// Covers the failed parts of one fan-out query over 15 services after the loss
/// of a third of the replicas, at a request rate too low to refill the bucket.
inline constexpr int64_t kAttemptBudgetCapacity = 5;

/// @brief Token bucket that bounds the extra attempts to a pool relative to its
/// primary attempts.
///
/// The bucket starts full and is refilled by a fraction of a token per primary
/// attempt. In any period, extra attempts are at most
/// `fraction * primaries + capacity`.
///
/// Example:
/// @code
/// AttemptBudget hedges = MakeHedgeBudget();
/// RecordPrimaryAttempt(hedges);
/// if (SpendAttempt(hedges)) {
///   // Send the hedge.
/// }
/// @endcode
struct AttemptBudget {
  int64_t refill_permille_;  ///< Thousandths of an attempt per primary.
  int64_t capacity_;         ///< Whole attempts.
  int64_t millitokens_;      ///< From zero to a thousand times the capacity.
  RefusalReason refusal_;    ///< Reason reported when the budget is exhausted.
};

/// @brief A full hedge budget: 5% of primary attempts.
[[nodiscard]] AttemptBudget MakeHedgeBudget(
    int64_t capacity = kAttemptBudgetCapacity) noexcept;

/// @brief A full retry budget: 8% of primary attempts, which leaves room for
/// the capacity below a bound of 1.1 upstream requests per primary attempt.
[[nodiscard]] AttemptBudget MakeRetryBudget(
    int64_t capacity = kAttemptBudgetCapacity) noexcept;

/// @brief Refills the budget for one primary attempt.
void RecordPrimaryAttempt(AttemptBudget& budget) noexcept;

/// @brief Whether the budget allows an extra attempt now.
///
/// Lets the caller acquire a slot first, so that no token is spent on an
/// attempt that gets no slot.
[[nodiscard]] bool CanSpendAttempt(const AttemptBudget& budget) noexcept;

/// @brief Spends one extra attempt. Errors: `kHedgeBudget` or `kRetryBudget`.
[[nodiscard]] tl::expected<void, RefusalReason> SpendAttempt(
    AttemptBudget& budget) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LIMITS_ATTEMPT_BUDGET_H_
