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

ResponseSignals Answer(milliseconds latency, const char* process = "p1") {
  return {RequestOutcome::kAnswered, process, {}, latency};
}

// Sends and finishes one request, when the limit allows it.
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

// Guards against a restarted process that receives full load at once.
TEST_CASE("each cold sign starts at limit 1", "[warmup]") {
  ReplicaWarmup replica;
  Exchange(replica, Answer(milliseconds(10)), kStart);
  CHECK(replica.phase_ == WarmupPhase::kWarm);

  SECTION("changed process") {
    Exchange(replica, Answer(milliseconds(10), "p2"), kStart);
    CHECK(replica.reason_ == ColdReason::kProcessChanged);
  }
  SECTION("announced limit") {
    auto signals = Answer(milliseconds(10));
    signals.cold_limit_ = 2;
    Exchange(replica, signals, kStart);
    CHECK(replica.reason_ == ColdReason::kAnnounced);
  }
  SECTION("two sheds within a second") {
    auto shed = Answer(milliseconds(1));
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

// Guards against a late answer of the old process that restarts the ramp.
TEST_CASE("a late answer of the previous process is ignored", "[warmup]") {
  ReplicaWarmup replica;
  Exchange(replica, Answer(milliseconds(10), "p1"), kStart);
  Exchange(replica, Answer(milliseconds(10), "p2"), kStart);
  const uint64_t level = replica.ramp_.level_;
  Exchange(replica, Answer(milliseconds(10), "p1"), kStart);
  CHECK(replica.process_id_ == "p2");
  CHECK(replica.ramp_.level_ == level);
}

// Guards against a limit that rises by time, by slow answers, above the
// announced limit, or while requests of other seats may still run.
TEST_CASE("the limit rises with fast answers only", "[warmup]") {
  ReplicaWarmup replica = MakeColdReplica(ColdReason::kNew, kStart);
  const Instant now = kStart + seconds(3600);
  CHECK(Limit(replica, now) == 1);

  for (int i = 0; i < 100; ++i) {
    Exchange(replica, Answer(milliseconds(900)), now);
  }
  CHECK(Limit(replica, now) == 1);

  auto announced = Answer(milliseconds(10));
  announced.cold_limit_ = 2;
  for (int i = 0; i < 100; ++i) {
    Exchange(replica, announced, now);
  }
  CHECK(Limit(replica, now) == 2);
  CHECK(replica.phase_ == WarmupPhase::kCold);

  for (int i = 0; i < 3 * kResponsesPerSlot - 1; ++i) {
    Exchange(replica, Answer(milliseconds(10)), now);
  }
  CHECK(Limit(replica, now) == 4);

  auto shed = Answer(milliseconds(1));
  shed.outcome_ = RequestOutcome::kShed;
  Exchange(replica, shed, now);
  CHECK(Limit(replica, now) == 1);

  for (int i = 0; i < 7 * kResponsesPerSlot; ++i) {
    Exchange(replica, Answer(milliseconds(10)), now);
  }
  CHECK(replica.phase_ == WarmupPhase::kWarm);
}

// Guards against answers to requests sent before the reset that count as work.
TEST_CASE("answers of an earlier level do not raise the limit", "[warmup]") {
  ReplicaWarmup replica;
  const auto old = StartRequest(replica, kLimits, SeatRole::kWarmup, kStart);
  MarkCold(replica, kLimits, ColdReason::kDomainReturned, kStart);
  FinishRequest(replica, kLimits, *old, Answer(milliseconds(1)), {}, kStart);
  CHECK(replica.ramp_.progress_ == 0);
}

// Guards against a new holder that sends while the old one's requests run.
TEST_CASE("a moved warm-up seat waits and restarts", "[warmup]") {
  ReplicaWarmup replica = MakeColdReplica(ColdReason::kAdvisory, kStart);
  replica.ramp_.limit_ = 4;
  TakeOverWarmupSeat(replica, kLimits, kStart);
  CHECK(Limit(replica, kStart + milliseconds(2099)) == 0);
  CHECK(Limit(replica, kStart + milliseconds(2100)) == 1);
}

// Guards against an old advisory that undoes a newer one.
TEST_CASE("the higher generation wins, then active", "[warmup]") {
  ReplicaWarmup replica;
  CHECK(ApplyColdAdvisory(replica, kLimits, 0, true, kStart));
  CHECK_FALSE(ApplyColdAdvisory(replica, kLimits, 0, false, kStart));
  CHECK(ApplyColdAdvisory(replica, kLimits, 1, false, kStart));
  CHECK_FALSE(ApplyColdAdvisory(replica, kLimits, 0, true, kStart));
  CHECK(replica.phase_ == WarmupPhase::kWarm);
}

// Guards against a full ramp while seats still send that had received a clear
// which this seat never saw.
TEST_CASE("a newer advisory renews the wait for other seats", "[warmup]") {
  ReplicaWarmup replica = MakeColdReplica(ColdReason::kNew, kStart);
  CHECK(ApplyColdAdvisory(replica, kLimits, 2, true, kStart));
  CHECK(replica.exclusive_from_ == kStart + kLimits.drain_wait_);
}

// One service of three replicas with unequal traffic under a log-normal query
// mix. Returns the number of seeds in which a replica was found cold.
int CountSteps(double factor_of_0, double factor_of_all) {
  int cold = 0;
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
                          : index > 0 ? factor_of_all
                                      : factor_of_0 * factor_of_all;
      const std::vector<const LatencyTracker*> siblings = {
          &replicas[(index + 1) % 3].latency_,
          &replicas[(index + 2) % 3].latency_};
      const milliseconds latency(static_cast<int>(mix(random) * slow) + 1);
      Exchange(replicas[index], Answer(latency), now, siblings);
      found = replicas[index].phase_ == WarmupPhase::kCold;
    }
    cold += found ? 1 : 0;
  }
  return cold;
}

// Guards against missed latency steps and against taking a slow query mix at
// all replicas for a cold start.
TEST_CASE("only a step against the siblings is a cold start", "[warmup]") {
  CHECK(CountSteps(8, 1) == 200);
  CHECK(CountSteps(1, 8) <= 2);
  CHECK(CountSteps(1, 1) == 0);
}

}  // namespace
}  // namespace clementinerill
