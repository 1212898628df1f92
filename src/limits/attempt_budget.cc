#include "limits/attempt_budget.h"

#include <algorithm>

#include "base/invariant.h"

namespace clementinerill {
namespace {

constexpr int64_t kMillitokensPerAttempt = 1000;

AttemptBudget MakeBudget(int64_t permille,
                         int64_t capacity,
                         RefusalReason refusal) noexcept {
  // A bucket that holds less than one token could never allow an attempt.
  CR_INVARIANT(capacity >= 1);
  return {permille, capacity, capacity * kMillitokensPerAttempt, refusal};
}

}  // namespace

AttemptBudget MakeHedgeBudget(int64_t capacity) noexcept {
  return MakeBudget(kHedgeRefillPermille, capacity,
                    RefusalReason::kHedgeBudget);
}

AttemptBudget MakeRetryBudget(int64_t capacity) noexcept {
  return MakeBudget(kRetryRefillPermille, capacity,
                    RefusalReason::kRetryBudget);
}

void RecordPrimaryAttempt(AttemptBudget& budget) noexcept {
  budget.millitokens_ = std::min(budget.millitokens_ + budget.refill_permille_,
                                 budget.capacity_ * kMillitokensPerAttempt);
}

bool CanSpendAttempt(const AttemptBudget& budget) noexcept {
  return budget.millitokens_ >= kMillitokensPerAttempt;
}

tl::expected<void, RefusalReason> SpendAttempt(AttemptBudget& budget) noexcept {
  if (!CanSpendAttempt(budget)) {
    return tl::make_unexpected(budget.refusal_);
  }
  budget.millitokens_ -= kMillitokensPerAttempt;
  return {};
}

}  // namespace clementinerill
