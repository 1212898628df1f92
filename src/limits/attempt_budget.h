#ifndef CLEMENTINERILL_LIMITS_ATTEMPT_BUDGET_H_
#define CLEMENTINERILL_LIMITS_ATTEMPT_BUDGET_H_

#include <cstdint>

#include <tl/expected.hpp>

#include "limits/refusal_reason.h"

namespace clementinerill {

/// @brief Thousandths of an attempt that one primary attempt adds.
inline constexpr int64_t kHedgePermille = 50;
inline constexpr int64_t kRetryPermille = 80;

/// @brief Attempts that a full budget allows without any traffic.
///
/// Covers the failed parts of one sweep over 15 services after a third of the
/// replicas is lost, at traffic too low to earn tokens.
inline constexpr int64_t kAttemptBudgetCapacity = 5;

/// @brief Bounds extra attempts to a pool by its primary attempts.
///
/// A token bucket that starts full, gains a fraction of a token per primary
/// attempt and holds at most the reserve. Over any consecutive part of a run,
/// extra attempts are at most `fraction * primaries + reserve`.
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
  int64_t permille_;         ///< Thousandths of an attempt per primary.
  int64_t reserve_;          ///< Whole attempts.
  int64_t tokens_permille_;  ///< From zero to a thousand times the reserve.
  RefusalReason refusal_;    ///< Reason reported when the budget is spent.
};

/// @brief A full budget of hedges: 5% of primary attempts.
[[nodiscard]] AttemptBudget MakeHedgeBudget(
    int64_t reserve = kAttemptBudgetCapacity) noexcept;

/// @brief A full budget of retries: 8% of primary attempts, which leaves room
/// for the reserve below 1.1 upstream requests for each primary one.
[[nodiscard]] AttemptBudget MakeRetryBudget(
    int64_t reserve = kAttemptBudgetCapacity) noexcept;

/// @brief Adds the share of one primary attempt.
void RecordPrimaryAttempt(AttemptBudget& budget) noexcept;

/// @brief Whether the budget allows an extra attempt now.
///
/// Lets the caller take a slot first, so that no token is spent on an attempt
/// that finds no slot.
[[nodiscard]] bool CanSpendAttempt(const AttemptBudget& budget) noexcept;

/// @brief Spends one extra attempt. Errors: `kHedgeBudget` or `kRetryBudget`.
[[nodiscard]] tl::expected<void, RefusalReason> SpendAttempt(
    AttemptBudget& budget) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LIMITS_ATTEMPT_BUDGET_H_
