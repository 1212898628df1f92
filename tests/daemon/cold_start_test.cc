#include <catch2/catch.hpp>

#include "live_pool.h"

namespace clementinerill {
namespace {

constexpr int kThreads = 9;
constexpr int kSweeps = 60;
// When an unannounced cold start begins, all requests in flight but one are
// shed (up to five were seen), and the capacity of the retry budget is two. One
// fan-out query is then partial, which only a larger sample can tell from a
// rate of 0.1%.
constexpr int kManySweeps = 400;
constexpr int kSlots = 3;

TestTable PoolOfOneSeat() {
  return TestTable{3, 3, kSlots, 1, {0}, {}, {}, {}};
}

bool IsComplete(int complete, int sweeps_per_thread) {
  return complete * 1000 >= kThreads * sweeps_per_thread * 999;
}

void CheckSiblings(LivePool& pool) {
  for (const int replica : {0, 2}) {
    const UpstreamStats stats = pool.Model(1, replica).Stats();
    CHECK(stats.most_running_ <= kSlots);
    CHECK(stats.shed_ == 0);
  }
}

// Guards against load above the limit of a replica that announces a cold
// start. Only requests that were in flight before its first response may exceed
// the limit, and their number is bounded by the slots.
TEST_CASE("a replica that turns cold under load keeps its limit", "[daemon]") {
  LivePool pool(PoolOfOneSeat());
  REQUIRE(IsComplete(pool.Sweep(kThreads, kSweeps), kSweeps));
  std::thread turn_cold([&pool] {
    while (pool.Model(1, 1).Running() == 0) {
      std::this_thread::yield();
    }
    REQUIRE(pool.Model(1, 1).SetFaults(
        R"({"cold_limit": 1, "cold_slow_factor": 2})"));
  });
  CHECK(IsComplete(pool.Sweep(kThreads, kSweeps), kSweeps));
  turn_cold.join();
  const UpstreamStats before = pool.Model(1, 1).Stats();
  CHECK(before.cold_over_ <= kSlots);

  CHECK(IsComplete(pool.Sweep(kThreads, kSweeps), kSweeps));
  const UpstreamStats after = pool.Model(1, 1).Stats();
  CHECK(after.cold_over_ == before.cold_over_);
  CHECK(after.finished_ > before.finished_);
  CheckSiblings(pool);

  // Its siblings have free slots now, and it still gets requests to warm up.
  CHECK(pool.Sweep(1, kSweeps) == kSweeps);
  CHECK(pool.Model(1, 1).Stats().finished_ > after.finished_);
}

// Guards against a replica that is never used again after its cold start.
TEST_CASE("a replica regains its slots by completing requests", "[daemon]") {
  LivePool pool(PoolOfOneSeat());
  REQUIRE(
      pool.Model(1, 1).SetFaults(R"({"cold_limit": 1, "cold_answers": 10})"));
  CHECK(IsComplete(pool.Sweep(kThreads, kSweeps), kSweeps));
  CHECK(IsComplete(pool.Sweep(kThreads, kSweeps), kSweeps));
  CHECK(pool.Model(1, 1).AnnouncedColdLimit() == 0);
  CHECK(pool.Model(1, 1).Stats().cold_over_ <= kSlots);
  CHECK(pool.Model(1, 1).Stats().most_running_ > 1);
}

// Guards against overload of a replica throughout a cold start that it does not
// announce: each ramp may exceed its limit of one once, after eight fast
// responses.
TEST_CASE("an unannounced cold start is detected by shed requests",
          "[daemon]") {
  LivePool pool(PoolOfOneSeat());
  REQUIRE(IsComplete(pool.Sweep(kThreads, kSweeps), kSweeps));
  REQUIRE(pool.Model(1, 1).SetFaults(
      R"({"cold_limit": 1, "cold_silent": true, "cold_slow_factor": 2})"));
  CHECK(IsComplete(pool.Sweep(kThreads, kManySweeps), kManySweeps));
  const UpstreamStats stats = pool.Model(1, 1).Stats();
  CHECK(stats.cold_over_ <= kSlots + 1 + stats.finished_ / kResponsesPerSlot);
  CheckSiblings(pool);
}

// Guards against requests to a cold replica from a daemon that does not hold
// its warm-up seat.
TEST_CASE("a daemon without the warm-up seat sends no requests", "[daemon]") {
  TestTable table = PoolOfOneSeat();
  table.seats_ = 3;
  for (int seat = 0; seat < 3; ++seat) {
    table.held_ = {seat};
    LivePool pool(table);
    pool.GetDispatcher().ApplyColdMark({"s1-r1", 1, true},
                                       std::chrono::steady_clock::now());
    const bool holds = SelectWarmupSeat({1, 1, 1}, "s1-r1") == seat;
    CHECK(pool.Sweep(3, 40) == 3 * 40);
    CHECK((pool.Model(1, 1).Stats().received_ > 0) == holds);
  }
}

}  // namespace
}  // namespace clementinerill
