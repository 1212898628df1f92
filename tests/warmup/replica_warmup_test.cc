#include "warmup/replica_warmup.h"

#include <chrono>
#include <cmath>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

namespace clementinerill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{seconds(1000)};
const WarmupLimits kLimits{4, 2, milliseconds(2100), milliseconds(250)};

ResponseSignals SuccessIn(milliseconds latency, const char* process = "p1") {
  return {RequestOutcome::kAnswered, process, {}, latency};
}

// Sends and finishes one request if the limit allows it.
bool Exchange(ReplicaWarmup& replica,
              const ResponseSignals& signals,
              Instant now,
              const std::vector<const LatencyTracker*>& siblings = {}) {
  const auto ticket = StartRequest(replica, kLimits, SeatRole::kWarmup, now);
  if (ticket) {
    FinishRequest(replica, kLimits, *ticket, signals, siblings, now);
  }
  return ticket.has_value();
}

int Limit(const ReplicaWarmup& replica, Instant now) {
  return CurrentLimit(replica, kLimits, SeatRole::kWarmup, now);
}

// Guards against sending full load to a replica that has just restarted.
TEST_CASE("each cold reason starts the ramp at limit 1", "[warmup]") {
  ReplicaWarmup replica;
  Exchange(replica, SuccessIn(milliseconds(10)), kStart);
  CHECK(replica.phase_ == WarmupPhase::kWarm);

  SECTION("changed process") {
    Exchange(replica, SuccessIn(milliseconds(10), "p2"), kStart);
    CHECK(replica.reason_ == ColdReason::kProcessChanged);
  }
  SECTION("announced limit") {
    auto signals = SuccessIn(milliseconds(10));
    signals.cold_limit_ = 2;
    Exchange(replica, signals, kStart);
    CHECK(replica.reason_ == ColdReason::kAnnounced);
  }
  SECTION("two sheds within a second") {
    auto shed = SuccessIn(milliseconds(1));
    shed.outcome_ = RequestOutcome::kShed;
    Exchange(replica, shed, kStart);
    CHECK(replica.phase_ == WarmupPhase::kWarm);
    Exchange(replica, shed, kStart + milliseconds(900));
    CHECK(replica.reason_ == ColdReason::kSheds);
  }
  CHECK(replica.phase_ == WarmupPhase::kCold);
  CHECK(Limit(replica, kStart) == 1);
  CHECK(CurrentLimit(replica, kLimits, SeatRole::kOther, kStart) == 0);
}

// Guards against a late response of the previous process restarting the ramp.
TEST_CASE("a late response of the previous process is ignored", "[warmup]") {
  ReplicaWarmup replica;
  Exchange(replica, SuccessIn(milliseconds(10), "p1"), kStart);
  Exchange(replica, SuccessIn(milliseconds(10), "p2"), kStart);
  const uint64_t level = replica.ramp_.level_;
  Exchange(replica, SuccessIn(milliseconds(10), "p1"), kStart);
  CHECK(replica.process_id_ == "p2");
  CHECK(replica.ramp_.level_ == level);
}

// Guards against a limit that rises with elapsed time, with slow responses or
// above the announced limit.
TEST_CASE("only fast responses raise the limit", "[warmup]") {
  ReplicaWarmup replica = MakeColdReplica(ColdReason::kNew, kStart);
  const Instant now = kStart + seconds(3600);
  CHECK(Limit(replica, now) == 1);

  for (int i = 0; i < 100; ++i) {
    Exchange(replica, SuccessIn(milliseconds(900)), now);
  }
  CHECK(Limit(replica, now) == 1);

  auto announced = SuccessIn(milliseconds(10));
  announced.cold_limit_ = 2;
  for (int i = 0; i < 100; ++i) {
    Exchange(replica, announced, now);
  }
  CHECK(Limit(replica, now) == 2);
  CHECK(replica.phase_ == WarmupPhase::kCold);

  for (int i = 0; i < 3 * kResponsesPerSlot - 1; ++i) {
    Exchange(replica, SuccessIn(milliseconds(10)), now);
  }
  CHECK(Limit(replica, now) == 4);

  auto shed = SuccessIn(milliseconds(1));
  shed.outcome_ = RequestOutcome::kShed;
  Exchange(replica, shed, now);
  CHECK(Limit(replica, now) == 1);

  for (int i = 0; i < 7 * kResponsesPerSlot; ++i) {
    Exchange(replica, SuccessIn(milliseconds(10)), now);
  }
  CHECK(replica.phase_ == WarmupPhase::kWarm);
}

// Guards against counting responses to requests that were sent before a reset
// of the ramp.
TEST_CASE("responses of an earlier level do not raise the limit", "[warmup]") {
  ReplicaWarmup replica;
  const auto old = StartRequest(replica, kLimits, SeatRole::kWarmup, kStart);
  MarkCold(replica, kLimits, ColdReason::kDomainReturned, kStart);
  FinishRequest(replica, kLimits, *old, SuccessIn(milliseconds(1)), {}, kStart);
  CHECK(replica.ramp_.progress_ == 0);
}

// Guards against a new holder of the warm-up seat that sends requests while
// those of the previous holder may still be in flight.
TEST_CASE("a transferred warm-up seat waits and restarts the ramp",
          "[warmup]") {
  ReplicaWarmup replica = MakeColdReplica(ColdReason::kAdvisory, kStart);
  replica.ramp_.limit_ = 4;
  TakeOverWarmupSeat(replica, kLimits, kStart);
  CHECK(Limit(replica, kStart + milliseconds(2099)) == 0);
  CHECK(Limit(replica, kStart + milliseconds(2100)) == 1);
}

// Guards against an outdated advisory that overrides a newer one.
TEST_CASE("a higher generation, then an active advisory, takes precedence",
          "[warmup]") {
  ReplicaWarmup replica;
  CHECK(ApplyColdAdvisory(replica, kLimits, 0, true, kStart));
  CHECK_FALSE(ApplyColdAdvisory(replica, kLimits, 0, false, kStart));
  CHECK(ApplyColdAdvisory(replica, kLimits, 1, false, kStart));
  CHECK_FALSE(ApplyColdAdvisory(replica, kLimits, 0, true, kStart));
  CHECK(replica.phase_ == WarmupPhase::kWarm);
}

// Guards against a ramp to all slots while other seats still send requests
// after a clear that this seat did not receive.
TEST_CASE("a newer advisory restarts the drain wait for other seats",
          "[warmup]") {
  ReplicaWarmup replica = MakeColdReplica(ColdReason::kNew, kStart);
  CHECK(ApplyColdAdvisory(replica, kLimits, 2, true, kStart));
  CHECK(replica.exclusive_from_ == kStart + kLimits.drain_wait_);
}

// Simulates a service of three replicas with unequal traffic and log-normal
// latencies. Halfway, the latency of all replicas is multiplied by `all_factor`
// and that of replica 0 also by `replica_0_factor`. Returns the number of seeds
// in which a replica was marked cold.
int CountSeedsWithStep(double replica_0_factor, double all_factor) {
  int seeds_with_step = 0;
  for (unsigned seed = 0; seed < 200; ++seed) {
    std::mt19937 random(seed);
    std::lognormal_distribution<double> mix(std::log(20.0), 0.5);
    std::discrete_distribution<int> pick({1, 1, 3});
    std::vector<ReplicaWarmup> replicas(3);
    bool found = false;
    for (int i = 0; i < 1200 && !found; ++i) {
      const Instant now = kStart + milliseconds(10 * i);
      const int index = pick(random);
      const double slow = i < 600     ? 1
                          : index > 0 ? all_factor
                                      : replica_0_factor * all_factor;
      const std::vector<const LatencyTracker*> siblings = {
          &replicas[(index + 1) % 3].latency_,
          &replicas[(index + 2) % 3].latency_};
      const milliseconds latency(static_cast<int>(mix(random) * slow) + 1);
      Exchange(replicas[index], SuccessIn(latency), now, siblings);
      found = replicas[index].phase_ == WarmupPhase::kCold;
    }
    seeds_with_step += found ? 1 : 0;
  }
  return seeds_with_step;
}

// Guards against missed latency steps, and against mistaking a query mix that
// is slow at all replicas for a cold start.
TEST_CASE("only a latency step relative to the siblings is a cold start",
          "[warmup]") {
  CHECK(CountSeedsWithStep(8, 1) == 200);
  CHECK(CountSeedsWithStep(1, 8) <= 2);
  CHECK(CountSeedsWithStep(1, 1) == 0);
}

}  // namespace
}  // namespace clementinerill
