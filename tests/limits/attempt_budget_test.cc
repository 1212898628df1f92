#include "limits/attempt_budget.h"

#include <algorithm>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "limits/steps.h"

namespace clementinerill {
namespace {

// Guards against extra attempts that amplify an overload in any period of the
// run, and against budgets that refuse an attempt within the bound.
TEST_CASE("extra attempts stay within fraction and capacity", "[budget]") {
  CHECK(rc::check([](bool hedges) {
    const int64_t capacity = *rc::gen::inRange(1, 8);
    AttemptBudget budget =
        hedges ? MakeHedgeBudget(capacity) : MakeRetryBudget(capacity);
    // The largest value of extra attempts minus refills, in thousandths of an
    // attempt, over all periods that end here.
    int64_t excess = 0;
    for (const int step : *Steps()) {
      for (int i = 0; i < step % 50; ++i) {
        RecordPrimaryAttempt(budget);
        excess = std::max<int64_t>(0, excess - budget.refill_permille_);
      }
      for (int i = 0; i < step % 7; ++i) {
        const bool allowed = excess + 1000 <= capacity * 1000;
        const bool spent = SpendAttempt(budget).has_value();
        RC_ASSERT(spent == allowed);
        excess += spent ? 1000 : 0;
      }
    }
  }));
}

// Guards against a budget that starts empty and allows no hedge at low traffic.
TEST_CASE("a new budget allows a hedge at low traffic", "[budget]") {
  AttemptBudget budget = MakeHedgeBudget();
  RecordPrimaryAttempt(budget);
  CHECK(CanSpendAttempt(budget));
  CHECK(SpendAttempt(budget));
}

// Checks the documented refill rates: 5% for hedges and 8% for retries.
TEST_CASE("an exhausted budget refills at its fraction", "[budget]") {
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
