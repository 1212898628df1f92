#include "limits/attempt_budget.h"

#include <algorithm>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "limits/steps.h"

namespace clementinerill {
namespace {

// Guards against extra attempts that amplify an overload, in the whole run or
// in any part of it, and against budgets that refuse what they owe.
TEST_CASE("extras stay within fraction and reserve", "[budget]") {
  CHECK(rc::check([](bool hedges) {
    const int64_t reserve = *rc::gen::inRange(1, 8);
    AttemptBudget budget =
        hedges ? MakeHedgeBudget(reserve) : MakeRetryBudget(reserve);
    // `excess` is the largest value of extras minus fraction over all parts of
    // the run that end here.
    int64_t excess = 0;
    for (const int step : *Steps()) {
      for (int i = 0; i < step % 50; ++i) {
        RecordPrimaryAttempt(budget);
        excess = std::max<int64_t>(0, excess - budget.permille_);
      }
      for (int i = 0; i < step % 7; ++i) {
        const bool owed = excess + 1000 <= reserve * 1000;
        const bool spent = SpendAttempt(budget).has_value();
        RC_ASSERT(spent == owed);
        excess += spent ? 1000 : 0;
      }
    }
  }));
}

// Guards against a budget that needs traffic before it pays its first hedge.
TEST_CASE("a new budget pays a hedge at low traffic", "[budget]") {
  AttemptBudget budget = MakeHedgeBudget();
  RecordPrimaryAttempt(budget);
  CHECK(CanSpendAttempt(budget));
  CHECK(SpendAttempt(budget));
}

// Guards against fractions other than those of the design page.
TEST_CASE("a spent budget recovers at its fraction", "[budget]") {
  AttemptBudget hedges = MakeHedgeBudget(1);
  AttemptBudget retries = MakeRetryBudget(1);
  REQUIRE(SpendAttempt(hedges));
  REQUIRE(SpendAttempt(retries));
  for (int i = 0; i < 19; ++i) {
    RecordPrimaryAttempt(hedges);
  }
  for (int i = 0; i < 12; ++i) {
    RecordPrimaryAttempt(retries);
  }
  CHECK(SpendAttempt(hedges).error() == RefusalReason::kHedgeBudget);
  CHECK(SpendAttempt(retries).error() == RefusalReason::kRetryBudget);
  RecordPrimaryAttempt(hedges);
  RecordPrimaryAttempt(retries);
  CHECK(SpendAttempt(hedges));
  CHECK(SpendAttempt(retries));
}

}  // namespace
}  // namespace clementinerill
