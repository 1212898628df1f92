#include "daemon/service_budgets.h"

namespace clementinerill {

bool MayStart(const ServiceBudgets& budgets, AttemptKind kind) noexcept {
  switch (kind) {
    case AttemptKind::kPrimary:
      return true;
    case AttemptKind::kHedge:
      return CanSpendAttempt(budgets.hedges_) &&
             CanSpendAttempt(budgets.retries_);
    case AttemptKind::kRetry:
      return CanSpendAttempt(budgets.retries_);
  }
  return false;
}

void RecordStart(ServiceBudgets& budgets, AttemptKind kind) noexcept {
  if (kind == AttemptKind::kPrimary) {
    RecordPrimaryAttempt(budgets.hedges_);
    RecordPrimaryAttempt(budgets.retries_);
    return;
  }
  if (kind == AttemptKind::kHedge) {
    static_cast<void>(SpendAttempt(budgets.hedges_));
  }
  static_cast<void>(SpendAttempt(budgets.retries_));
}

}  // namespace clementinerill
