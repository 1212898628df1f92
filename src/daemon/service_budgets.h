#ifndef CLEMENTINERILL_DAEMON_SERVICE_BUDGETS_H_
#define CLEMENTINERILL_DAEMON_SERVICE_BUDGETS_H_

#include "limits/attempt_budget.h"
#include "sweep/attempt_kind.h"

namespace clementinerill {

/// @brief Budgets of extra attempts to one service.
///
/// A hedge is charged to both, so that hedges and retries together stay within
/// the budget of retries and a service that fails at every replica cannot
/// multiply its load.
struct ServiceBudgets {
  // One sweep needs at most one extra attempt of a service at once; the
  // second covers a replica that is lost in the same moment.
  static constexpr int64_t kReserve = 2;

  AttemptBudget hedges_ = MakeHedgeBudget(kReserve);
  AttemptBudget extras_ = MakeRetryBudget(kReserve);
};

/// @brief Whether the budgets allow an attempt of this kind.
[[nodiscard]] bool MayStart(const ServiceBudgets& budgets,
                            AttemptKind kind) noexcept;

/// @brief Charges an attempt, or adds the share of a primary one.
void RecordStart(ServiceBudgets& budgets, AttemptKind kind) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_SERVICE_BUDGETS_H_
