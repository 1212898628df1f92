#include "limits/slot_limiter.h"

#include <algorithm>
#include <vector>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "limits/steps.h"

namespace clementinerill {
namespace {

using std::chrono::milliseconds;

void RunOne(SlotLimiter& limiter,
            Instant& now,
            milliseconds latency,
            SlotOutcome outcome = SlotOutcome::kAnswered) {
  const auto grant = AcquireSlot(limiter, now);
  REQUIRE(grant);
  now += latency;
  ReleaseSlot(limiter, *grant, outcome, now);
}

void RunMany(SlotLimiter& limiter,
             Instant& now,
             milliseconds latency,
             int count,
             SlotOutcome outcome = SlotOutcome::kAnswered) {
  for (int i = 0; i < count; ++i) {
    RunOne(limiter, now, latency, outcome);
  }
}

SlotLimiter LimiterWithShare(int share) {
  SlotLimiter limiter;
  SetShare(limiter, share);
  return limiter;
}

// No order of changes and outcomes may let an acquisition exceed the share, the
// adaptive limit or the cold cap, or permanently block a replica without slots
// in use.
TEST_CASE("acquisitions respect all three limits", "[slots]") {
  CHECK(rc::check([] {
    SlotLimiter limiter = LimiterWithShare(*rc::gen::inRange(0, 8));
    std::vector<SlotGrant> grants;
    Instant now{};
    for (const int step : *Steps()) {
      now += milliseconds(step % 40);
      if (step < 600) {
        const int adaptive = EffectiveLimit(limiter.adaptive_, limiter.share_);
        const int cap = limiter.cold_cap_.value_or(adaptive);
        const int bound = std::min({limiter.share_, adaptive, cap});
        RC_ASSERT(limiter.share_ == 0 || bound >= 1);
        const int before = limiter.in_use_;
        const auto grant = AcquireSlot(limiter, now);
        RC_ASSERT(grant.has_value() == (before < bound));
        if (grant) {
          grants.push_back(*grant);
        }
      } else if (step < 900 && !grants.empty()) {
        const auto outcome = static_cast<SlotOutcome>(step % 4);
        ReleaseSlot(limiter, grants.front(), outcome, now);
        grants.erase(grants.begin());
      } else if (step < 960) {
        SetShare(limiter, step % 8);
      } else if (step % 2 == 0) {
        SetColdCap(limiter, 1 + step % 5);
      } else {
        SetColdCap(limiter, std::nullopt);
      }
      RC_ASSERT(limiter.in_use_ == static_cast<int>(grants.size()));
    }
  }));
}

// Guards against a refusal reason that points operators to the wrong limit.
TEST_CASE("a refusal names the tightest limit", "[slots]") {
  Instant now{};
  SlotLimiter limiter = LimiterWithShare(0);
  CHECK(AcquireSlot(limiter, now).error() == RefusalReason::kNoSlot);
  SetShare(limiter, 3);
  SetColdCap(limiter, 1);
  REQUIRE(AcquireSlot(limiter, now));
  CHECK(AcquireSlot(limiter, now).error() == RefusalReason::kColdLimit);
  SetColdCap(limiter, std::nullopt);
  ReleaseSlot(limiter, {now}, SlotOutcome::kShed, now);
  REQUIRE(AcquireSlot(limiter, now));
  REQUIRE(AcquireSlot(limiter, now));
  CHECK(AcquireSlot(limiter, now).error() == RefusalReason::kConcurrencyLimit);
}

// A burst of sheds from one overload must not decrease the limit repeatedly.
TEST_CASE("sheds of one round trip lower the limit once", "[slots]") {
  SlotLimiter limiter = LimiterWithShare(6);
  Instant now{};
  for (int i = 0; i < 6; ++i) {
    REQUIRE(AcquireSlot(limiter, now));
  }
  for (int i = 0; i < 6; ++i) {
    ReleaseSlot(limiter, {now}, SlotOutcome::kShed, now + milliseconds(i + 1));
  }
  CHECK(SlotLimit(limiter) == 4);
}

// Guards against a limit that stays low after the replica has recovered, and
// against one that recovers without responses.
TEST_CASE("the limit recovers with responses", "[slots]") {
  SlotLimiter limiter = LimiterWithShare(6);
  Instant now{};
  RunMany(limiter, now, milliseconds(5), 8, SlotOutcome::kShed);
  CHECK(SlotLimit(limiter) == 1);
  now += std::chrono::hours(1);
  SetShare(limiter, 0);
  SetShare(limiter, 6);
  CHECK(SlotLimit(limiter) == 1);
  RunMany(limiter, now, milliseconds(5), 25);
  CHECK(SlotLimit(limiter) == 2);
  RunMany(limiter, now, milliseconds(5), 200);
  CHECK(SlotLimit(limiter) == 6);
}

// A replica that slows down under load without shedding must be limited; a few
// stragglers must not lower the limit.
TEST_CASE("the limit falls when latency rises", "[slots]") {
  SlotLimiter limiter = LimiterWithShare(6);
  Instant now{};
  for (int i = 0; i < 200; ++i) {
    RunOne(limiter, now, milliseconds(i % 4 == 0 ? 500 : 10));
  }
  CHECK(SlotLimit(limiter) == 6);
  const auto outcome =
      GENERATE(SlotOutcome::kAnswered, SlotOutcome::kCancelled);
  RunMany(limiter, now, milliseconds(50), 200, outcome);
  CHECK(SlotLimit(limiter) == 1);
}

// A replica that became permanently slower, for example because its data grew,
// must regain its limit.
TEST_CASE("a lasting change of latency becomes the baseline", "[slots]") {
  SlotLimiter limiter = LimiterWithShare(6);
  Instant now{};
  RunMany(limiter, now, milliseconds(10), 64);
  RunMany(limiter, now, milliseconds(30), 1500);
  CHECK(SlotLimit(limiter) == 6);
}

// Latencies of a cold replica must not lower its limit once it is warm.
TEST_CASE("latency of a cold replica is not recorded", "[slots]") {
  SlotLimiter limiter = LimiterWithShare(6);
  Instant now{};
  RunMany(limiter, now, milliseconds(10), 64);
  SetColdCap(limiter, 1);
  RunMany(limiter, now, milliseconds(200), 64);
  SetColdCap(limiter, std::nullopt);
  CHECK(SlotLimit(limiter) == 6);
}

}  // namespace
}  // namespace clementinerill
