#include "limits/attempt_budget.h"

#include <algorithm>

#include "base/invariant.h"

namespace clementinerill {
namespace {

constexpr int64_t kPermillePerAttempt = 1000;

AttemptBudget MakeBudget(int64_t permille,
                         int64_t reserve,
                         RefusalReason refusal) noexcept {
  // Without a whole token of reserve the bucket could never pay an attempt.
  CR_INVARIANT(reserve >= 1);
  return {permille, reserve, reserve * kPermillePerAttempt, refusal};
}

}  // namespace

AttemptBudget MakeHedgeBudget(int64_t reserve) noexcept {
  return MakeBudget(kHedgePermille, reserve, RefusalReason::kHedgeBudget);
}

AttemptBudget MakeRetryBudget(int64_t reserve) noexcept {
  return MakeBudget(kRetryPermille, reserve, RefusalReason::kRetryBudget);
}

void RecordPrimaryAttempt(AttemptBudget& budget) noexcept {
  budget.tokens_permille_ = std::min(budget.tokens_permille_ + budget.permille_,
                                     budget.reserve_ * kPermillePerAttempt);
}

bool CanSpendAttempt(const AttemptBudget& budget) noexcept {
  return budget.tokens_permille_ >= kPermillePerAttempt;
}

tl::expected<void, RefusalReason> SpendAttempt(AttemptBudget& budget) noexcept {
  if (!CanSpendAttempt(budget)) {
    return tl::make_unexpected(budget.refusal_);
  }
  budget.tokens_permille_ -= kPermillePerAttempt;
  return {};
}

}  // namespace clementinerill
