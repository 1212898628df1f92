#include <deque>
#include <vector>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "traffic/fleet_fixture.h"

namespace clementinerill::traffic {
namespace {

struct Use {
  Instant at_;
  bool is_extra_;
};

// Returns the maximum excess of extra attempts over the ratio of requests in
// any window.
double MaxExcess(const std::vector<Use>& uses, const ExtraAttemptLimit& limit) {
  double max_excess = 0;
  for (size_t begin = 0; begin < uses.size(); ++begin) {
    double requests = 0;
    double extras = 0;
    for (size_t i = begin; i < uses.size(); ++i) {
      if (uses[i].at_ - uses[begin].at_ >= limit.window_) {
        break;
      }
      (uses[i].is_extra_ ? extras : requests) += 1;
    }
    max_excess = std::max(max_excess, extras - limit.ratio_ * requests);
  }
  return max_excess;
}

// Guards against extra attempts of all daemons that exceed the limit of a
// service in some window, for any number of daemons and any load.
TEST_CASE("extra attempts of all daemons stay within the limit", "[budget]") {
  CHECK(rc::check([] {
    const ExtraAttemptLimit limit{0.2, 58, seconds(10)};
    const int daemons = *rc::gen::inRange(1, 12);
    std::vector<ExtraAttemptBudget> budgets(static_cast<size_t>(daemons));
    std::vector<Use> uses;
    Instant now = At({});
    const auto steps = *rc::gen::resize(
        400, rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000)));
    for (const int step : steps) {
      now += milliseconds(step % 97);
      auto& budget = budgets[static_cast<size_t>(step % daemons)];
      budget.RecordRequest(now);
      uses.push_back({now, false});
      for (int i = 0; i < step % 4; ++i) {
        const auto use =
            step % 2 == 0 ? ExtraAttemptUse::kHedge : ExtraAttemptUse::kRetry;
        if (budget.TrySpend(limit, daemons, use, now)) {
          uses.push_back({now, true});
        }
      }
    }
    RC_ASSERT(MaxExcess(uses, limit) <= limit.slack_);
  }));
}

// Guards against hedges that exhaust the budget for retries after failures.
TEST_CASE("hedges leave part of the budget for retries", "[budget]") {
  const ExtraAttemptLimit limit{0.2, 0, seconds(10)};
  ExtraAttemptBudget budget;
  for (int i = 0; i < 100; ++i) {
    budget.RecordRequest(At({}));
  }
  while (budget.TrySpend(limit, 1, ExtraAttemptUse::kHedge, At({}))) {
  }
  const int64_t hedges = budget.SpentCount();
  CHECK(hedges < 16);
  CHECK(budget.TrySpend(limit, 1, ExtraAttemptUse::kRetry, At({})));
}

// Guards against a budget that never recovers and against one that recovers
// before the window is over.
TEST_CASE("spent budget is available again after the window", "[budget]") {
  const ExtraAttemptLimit limit{0.2, 10, seconds(10)};
  ExtraAttemptBudget budget;
  while (budget.TrySpend(limit, 1, ExtraAttemptUse::kRetry, At({}))) {
  }
  const int64_t spent = budget.SpentCount();
  CHECK(spent >= 5);
  CHECK_FALSE(
      budget.TrySpend(limit, 1, ExtraAttemptUse::kRetry, At(seconds(9))));
  CHECK(budget.TrySpend(limit, 1, ExtraAttemptUse::kRetry, At(seconds(11))));
}

}  // namespace
}  // namespace clementinerill::traffic
