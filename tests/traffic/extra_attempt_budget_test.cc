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

// The largest excess of extras over the ratio of requests in any window.
double MostExcess(const std::vector<Use>& uses,
                  const ExtraAttemptLimit& limit) {
  double most = 0;
  for (size_t begin = 0; begin < uses.size(); ++begin) {
    double requests = 0;
    double extras = 0;
    for (size_t i = begin; i < uses.size(); ++i) {
      if (uses[i].at_ - uses[begin].at_ >= limit.window_) {
        break;
      }
      (uses[i].is_extra_ ? extras : requests) += 1;
    }
    most = std::max(most, extras - limit.ratio_ * requests);
  }
  return most;
}

// Guards against retries of a whole fleet that exceed the limit of a service
// in some window, with any number of daemons and any load.
TEST_CASE("extra attempts of all daemons stay within the limit", "[budget]") {
  CHECK(rc::check([] {
    const ExtraAttemptLimit limit{0.2, 58, seconds(10)};
    const int daemons = *rc::gen::inRange(1, 12);
    std::vector<ExtraAttemptBudget> windows(static_cast<size_t>(daemons));
    std::vector<Use> uses;
    Instant now = At({});
    const auto steps = *rc::gen::resize(
        400, rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000)));
    for (const int step : steps) {
      now += milliseconds(step % 97);
      auto& window = windows[static_cast<size_t>(step % daemons)];
      window.RecordRequest(now);
      uses.push_back({now, false});
      for (int i = 0; i < step % 4; ++i) {
        const auto use =
            step % 2 == 0 ? ExtraAttemptUse::kHedge : ExtraAttemptUse::kRetry;
        if (window.TrySpend(limit, daemons, use, now)) {
          uses.push_back({now, true});
        }
      }
    }
    RC_ASSERT(MostExcess(uses, limit) <= limit.slack_);
  }));
}

// Guards against hedges that use up what a retry after a failure needs.
TEST_CASE("hedges leave room for retries", "[budget]") {
  const ExtraAttemptLimit limit{0.2, 0, seconds(10)};
  ExtraAttemptBudget window;
  for (int i = 0; i < 100; ++i) {
    window.RecordRequest(At({}));
  }
  while (window.TrySpend(limit, 1, ExtraAttemptUse::kHedge, At({}))) {
  }
  const int64_t hedges = window.SpentCount();
  CHECK(hedges < 16);
  CHECK(window.TrySpend(limit, 1, ExtraAttemptUse::kRetry, At({})));
}

// Guards against a budget that never recovers, and one that forgets too early.
TEST_CASE("what was spent returns after the window", "[budget]") {
  const ExtraAttemptLimit limit{0.2, 10, seconds(10)};
  ExtraAttemptBudget window;
  while (window.TrySpend(limit, 1, ExtraAttemptUse::kRetry, At({}))) {
  }
  const int64_t spent = window.SpentCount();
  CHECK(spent >= 5);
  CHECK_FALSE(
      window.TrySpend(limit, 1, ExtraAttemptUse::kRetry, At(seconds(9))));
  CHECK(window.TrySpend(limit, 1, ExtraAttemptUse::kRetry, At(seconds(11))));
}

}  // namespace
}  // namespace clementinerill::traffic
