#include "rollout/judge.h"

#include <chrono>
#include <cmath>
#include <random>

#include <catch2/catch.hpp>

#include "rollout/clear_fault.h"
#include "rollout/latency_axis.h"
#include "rollout/share_selection.h"

namespace clementinerill {
namespace {

// Simulated version: all parts of a request fail, or all succeed with the same
// latency.
struct Behaviour {
  double error_rate_ = 0.01;
  double median_ms_ = 20;
};

void Sample(VersionCounts& counts,
            int requests,
            const Behaviour& behaviour,
            std::mt19937& random,
            int parts = 1) {
  std::lognormal_distribution<double> latency(std::log(behaviour.median_ms_),
                                              0.4);
  std::bernoulli_distribution fails(behaviour.error_rate_);
  counts.latency_.resize(kLatencyBuckets);
  for (int i = 0; i < requests; ++i) {
    ++counts.requests_;
    counts.parts_ += parts;
    if (fails(random)) {
      counts.failures_ += parts;
    } else {
      const std::chrono::duration<double, std::milli> ms(latency(random));
      ++counts
            .latency_[LatencyBucket(std::chrono::duration_cast<Duration>(ms))];
    }
  }
}

// Number of runs, of up to 300 evaluations each, in which the judge stopped the
// new version.
int CountStops(const Behaviour& new_behaviour, int runs) {
  int stops = 0;
  for (int seed = 0; seed < runs; ++seed) {
    std::mt19937 random(seed);
    RouteCounts route{"search", {}, {}};
    VerdictKind kind = VerdictKind::kHold;
    for (int evaluation = 0; evaluation < 300 && kind != VerdictKind::kStop;
         ++evaluation) {
      Sample(route.old_, 190, {}, random, 8);
      Sample(route.new_, 10, new_behaviour, random, 8);
      kind = Judge({route}, 100, {}, 1).kind_;
    }
    stops += kind == VerdictKind::kStop ? 1 : 0;
  }
  return stops;
}

// Guards against false stops caused by repeated evaluation or by requests whose
// parts fail together, and against undetected regressions.
TEST_CASE("300 evaluations stop only versions with a regression", "[rollout]") {
  CHECK(CountStops({0.01, 20}, 200) == 0);
  CHECK(CountStops({0.05, 20}, 20) == 20);
  CHECK(CountStops({0.01, 30}, 20) == 20);
}

// Guards against a verdict over all routes together, which hides one route that
// fails or has no traffic.
TEST_CASE("every route is judged separately", "[rollout]") {
  std::mt19937 random(1);
  RouteCounts good{"good", {}, {}};
  Sample(good.old_, 5000, {}, random);
  Sample(good.new_, 5000, {}, random);
  RouteCounts bad = good;
  bad.route_ = "bad";
  bad.new_ = {};
  CHECK(Judge({good}, 100, {}, 7).kind_ == VerdictKind::kContinue);
  CHECK(Judge({good}, 100, {}, 7).generation_ == 7);

  const auto hold = Judge({good, bad}, 100, {}, 7);
  CHECK(hold.kind_ == VerdictKind::kHold);
  CHECK(hold.route_ == "bad");

  Sample(bad.new_, 200, {0.5, 20}, random);
  const auto stop = Judge({good, bad}, 100, {}, 7);
  CHECK(stop.kind_ == VerdictKind::kStop);
  CHECK(stop.reason_ == StopReason::kErrorRate);
  CHECK(stop.route_ == "bad");
}

// Guards against a fast check that needs more parts than one daemon receives in
// a few seconds, and against false positives from a fault of both versions,
// from two failed requests with many parts, or from too few requests to the old
// version.
TEST_CASE("a clear fault is detected from few parts", "[rollout]") {
  std::mt19937 random(2);
  RouteCounts window{"search", {}, {}};
  Sample(window.old_, 1000, {}, random);
  Sample(window.new_, 7, {1, 20}, random);
  CHECK(DetectClearFault(window) == StopReason::kClearErrors);

  window.new_ = {};
  Sample(window.new_, 7, {0, 400}, random);
  CHECK(DetectClearFault(window) == StopReason::kClearLatency);

  window = {"search", {}, {}};
  Sample(window.old_, 10, {0, 20}, random);
  Sample(window.new_, 20, {0, 400}, random);
  CHECK(DetectClearFault(window) == StopReason::kNone);
  Sample(window.old_, 990, {0, 20}, random);

  window.new_ = {};
  Sample(window.new_, 2, {1, 20}, random, 54);
  CHECK(DetectClearFault(window) == StopReason::kNone);

  window = {"search", {}, {}};
  Sample(window.old_, 1000, {0.6, 200}, random);
  Sample(window.new_, 100, {0.6, 200}, random);
  CHECK(DetectClearFault(window) == StopReason::kNone);
}

// Guards against requests that move back to the old version when the share
// increases, and against traffic to the new version after a stop.
TEST_CASE("version selection is monotone in the share", "[rollout]") {
  int selected = 0;
  for (int i = 0; i < 20000; ++i) {
    const std::string id = std::to_string(i);
    bool before = false;
    for (const int share : {0, 100, 500, 2500, 5000, 10000}) {
      const bool now = SelectsNewVersion("r1", id, share);
      CHECK((now || !before));
      selected += share == 500 && now ? 1 : 0;
      before = now;
    }
    CHECK(before);
  }
  CHECK(std::abs(selected - 1000) < 100);
  RolloutState state;
  state.share_ = 500;
  CHECK(LocalShare(state, false) == 500);
  CHECK(LocalShare(state, true) == 0);
}

}  // namespace
}  // namespace clementinerill
