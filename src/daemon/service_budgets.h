#ifndef CLEMENTINERILL_DAEMON_SERVICE_BUDGETS_H_
#define CLEMENTINERILL_DAEMON_SERVICE_BUDGETS_H_

#include "limits/attempt_budget.h"
#include "sweep/attempt_kind.h"

namespace clementinerill {

/// @brief Budgets of hedges and retries to one service.
///
/// A hedge is charged to both budgets, so that hedges and retries together stay
/// within the retry budget and a service that fails at every replica cannot
/// multiply its load.
struct ServiceBudgets {
  // A fan-out query needs at most one extra attempt of a service at once; the
  // second covers a replica that is lost at the same time.
  static constexpr int64_t kCapacity = 2;

  AttemptBudget hedges_ = MakeHedgeBudget(kCapacity);
  AttemptBudget retries_ = MakeRetryBudget(kCapacity);
};

/// @brief Whether the budgets allow an attempt of this kind.
[[nodiscard]] bool MayStart(const ServiceBudgets& budgets,
                            AttemptKind kind) noexcept;

/// @brief Charges an extra attempt, or refills the budgets for a primary one.
void RecordStart(ServiceBudgets& budgets, AttemptKind kind) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_SERVICE_BUDGETS_H_
