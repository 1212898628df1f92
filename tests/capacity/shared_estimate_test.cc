#include <cmath>
#include <limits>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "capacity/capacity.h"

// Estimates that daemons share. The comment of each test names what it guards
// against.
namespace clementinerill::capacity {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kNow{seconds(1000)};

SharedEstimate Slow(double slowness, double weight, Duration age = {}) {
  return {1, std::log(slowness), 1.0, weight, age};
}

/// A replica that answers this daemon `count` times at `slowness`.
Estimate Learned(double slowness, int count) {
  Estimate estimate;
  constexpr Duration kMedian = milliseconds(15);
  for (int i = 0; i < count; ++i) {
    const Instant now = kNow - milliseconds(500) * (count - i);
    RecordReport(estimate, {1, 0, 4, 100}, now);
    RecordAnswer(estimate, {now - Scale(kMedian, slowness), kMedian}, now);
  }
  return estimate;
}

// Guards against a new daemon that learns by itself what others know.
TEST_CASE("a new daemon uses what others have learned", "[shared]") {
  Estimate fresh;
  ApplyShared(fresh, Slow(1.4, 40), kNow);
  CHECK(IsLearned(fresh, kNow));
  CHECK(LastingSlowness(fresh, kNow) == Approx(1.4));
  CHECK(Pace(fresh, kNow) == 1.0);
  ApplyShared(fresh, {1, 0, 0.5, 40, {}}, kNow);
  CHECK(AcceptedRequests(fresh, 8, kNow) == Approx(4));
  CHECK(LastingSlowness(fresh, kNow + seconds(60)) == 1.0);
  CHECK_FALSE(IsLearned(fresh, kNow + seconds(61)));
}

// Guards against estimates of others that outweigh many own observations, and
// against own ones that come back as those of others.
TEST_CASE("own observations count by their number", "[shared]") {
  Estimate own = Learned(1.0, 40);
  const double observations = Evidence(own, kNow);
  ApplyShared(own, Slow(1.5, observations), kNow);
  CHECK(LastingSlowness(own, kNow) == Approx(std::sqrt(1.5)).epsilon(0.02));
  CHECK_FALSE(Share(own, 1, kNow));
}

// Guards against messages about replicas that are like all others.
TEST_CASE("only what differs and is recent is shared", "[shared]") {
  CHECK_FALSE(Share(Estimate{}, 1, kNow));
  CHECK_FALSE(Share(Learned(1.0, 40), 1, kNow));
  CHECK_FALSE(Share(Learned(1.5, 1), 1, kNow));
  const auto shared = Share(Learned(1.5, 40), 1, kNow);
  REQUIRE(shared);
  CHECK(shared->replica_ == 1);
  CHECK(std::exp(shared->log_slowness_) == Approx(1.5).epsilon(0.1));
  CHECK_FALSE(Share(Learned(1.5, 40), 1, kNow + seconds(30)));
}

// Guards against repeats that count twice, against reports of lost daemons that
// stay, and against old observations that count as much as new ones.
TEST_CASE("reports are merged by weight and age", "[shared]") {
  FleetEstimates fleet;
  RecordShared(fleet, "vm-1", {Slow(2.0, 10)}, true, kNow);
  RecordShared(fleet, "vm-1", {Slow(2.0, 10)}, true, kNow);
  auto merged = MergeShared(fleet, false, kNow);
  REQUIRE(merged.size() == 1);
  CHECK(merged[0].weight_ == 10);
  RecordShared(fleet, "vm-2", {Slow(1.0, 10)}, false, kNow);
  merged = MergeShared(fleet, false, kNow);
  CHECK(std::exp(merged[0].log_slowness_) == Approx(std::sqrt(2.0)));
  CHECK(merged[0].weight_ == 20);
  CHECK(MergeShared(fleet, true, kNow)[0].weight_ == 10);
  RecordShared(fleet, "vm-2", {Slow(1.0, 10, seconds(10))}, false, kNow);
  merged = MergeShared(fleet, false, kNow);
  CHECK(std::exp(merged[0].log_slowness_) == Approx(std::exp2(2.0 / 3)));
  CHECK(merged[0].age_ > seconds(3));
  CHECK(merged[0].age_ < seconds(4));
  CHECK(MergeShared(fleet, false, kNow + seconds(5)).empty());
}

// Guards against state and messages that grow with what others send.
TEST_CASE("shared state is bounded", "[shared]") {
  FleetEstimates fleet;
  std::vector<SharedEstimate> many;
  for (int i = 0; i < 5000; ++i) {
    many.push_back({static_cast<uint32_t>(i), 0.3, 1, i / 100.0, {}});
  }
  for (int i = 0; i < 2100; ++i) {
    RecordShared(fleet, "vm-" + std::to_string(i), {}, true,
                 kNow + milliseconds(i));
  }
  RecordShared(fleet, "vm-x", many, true, kNow + seconds(3));
  CHECK(fleet.by_process_.size() == 2000);
  CHECK(fleet.by_process_.count("vm-0") == 0);
  const auto merged = MergeShared(fleet, false, kNow + seconds(3));
  CHECK(merged.size() == kMaxSharedEstimates);
}

// Guards against numbers of a faulty daemon that make a replica unusable.
TEST_CASE("impossible numbers are bounded", "[shared]") {
  constexpr double kNan = std::numeric_limits<double>::quiet_NaN();
  for (const SharedEstimate& odd :
       {SharedEstimate{1, 1e9, -5, 1e300, -seconds(5)},
        SharedEstimate{1, kNan, kNan, kNan, seconds(1000000)},
        SharedEstimate{1, -1e9, 7, 50, {}}}) {
    FleetEstimates fleet;
    RecordShared(fleet, "vm-1", {odd}, true, kNow);
    for (const SharedEstimate& merged : MergeShared(fleet, false, kNow)) {
      Estimate estimate;
      ApplyShared(estimate, merged, kNow);
      CHECK(LastingSlowness(estimate, kNow) >= std::exp(-1.01));
      CHECK(LastingSlowness(estimate, kNow) <= std::exp(1.01));
      CHECK(AcceptedRequests(estimate, 8, kNow) >= 1);
      CHECK(AcceptedRequests(estimate, 8, kNow) <= 8);
    }
  }
}

}  // namespace
}  // namespace clementinerill::capacity
