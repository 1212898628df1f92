#include "limits/query_gate.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "limits/overload_model.h"
#include "limits/steps.h"

namespace clementinerill {
namespace {

// Guards against running more queries than the limit and against a limit out of
// its range, under any mix of completions.
TEST_CASE("queries stay within the gate limit", "[gate]") {
  CHECK(rc::check([] {
    const int lowest = *rc::gen::inRange(1, 4);
    const int highest = lowest + *rc::gen::inRange(0, 20);
    QueryGate gate = MakeQueryGate(lowest, highest);
    int running = 0;
    Instant now{};
    for (const int step : *Steps()) {
      for (int i = 0; i < 10; ++i) {
        now += std::chrono::milliseconds(step % 7);
        const int before = gate.in_use_;
        const bool admitted = AdmitQuery(gate).has_value();
        RC_ASSERT(admitted == (before < GateLimit(gate)));
        running += admitted ? 1 : 0;
        if ((step >> i) % 2 == 0 && running > 0) {
          FinishQuery(gate, static_cast<QueryCompletion>(step % 3), now);
          --running;
        }
        RC_ASSERT(gate.in_use_ == running);
        RC_ASSERT(GateLimit(gate) >= lowest);
        RC_ASSERT(GateLimit(gate) <= highest);
      }
    }
  }));
}

// Guards against running so many queries that all of them time out.
TEST_CASE("goodput stays near its peak under overload", "[gate]") {
  OverloadModel model;
  model.contention_ = GENERATE(0.0, 0.02);
  model.deadline_ms_ = GENERATE(260, 3000);
  model.load_ = GENERATE(2.0, 6.0);
  QueryGate peak = MakeQueryGate(20, 20);
  QueryGate unlimited = MakeQueryGate(1000, 1000);
  const double best = MeanFrom(RunModel(model, peak, 20, 1), 5);
  CHECK(MeanFrom(RunModel(model, unlimited, 20, 1), 5) < 0.2 * best);
  for (unsigned seed = 1; seed <= 3; ++seed) {
    QueryGate gate = MakeQueryGate(4, 1000);
    CHECK(MeanFrom(RunModel(model, gate, 40, seed), 10) > 0.8 * best);
  }
}

// The cap after a collapse must end, so that the limit follows a capacity that
// has grown.
TEST_CASE("the limit follows a capacity that has grown", "[gate]") {
  OverloadModel model;
  model.load_ = 3;
  model.shortest_ms_ = model.longest_ms_ = 200;
  model.deadline_ms_ = 230;
  QueryGate gate = MakeQueryGate(4, 1000);
  (void)RunModel(model, gate, 30, 1);
  model.workers_ = 40;
  const Instant grown = Instant{} + std::chrono::seconds(30);
  CHECK(MeanFrom(RunModel(model, gate, 40, 2, grown), 20) > 0.8);
}

// An overload must not cause missed deadlines for more than a few seconds.
TEST_CASE("a sudden overload is contained within seconds", "[gate]") {
  OverloadModel model;
  model.load_ = 3;
  QueryGate gate = MakeQueryGate(4, 1000);
  CHECK(MeanFrom(RunModel(model, gate, 5, 2), 2) > 0.8);
}

// Guards against a search for the peak that halves the limit after a raise
// caused a collapse, or that repeatedly raises it to where all queries miss.
TEST_CASE("a tight deadline costs little goodput", "[gate]") {
  OverloadModel model;
  model.load_ = 3;
  model.shortest_ms_ = model.longest_ms_ = 200;
  model.deadline_ms_ = 230;
  QueryGate gate = MakeQueryGate(4, 1000);
  CHECK(MeanFrom(RunModel(model, gate, 60, 1), 10) > 0.85);
}

// Misses that do not depend on load must not lower the limit without bound.
TEST_CASE("misses independent of load do not lower the limit without bound",
          "[gate]") {
  OverloadModel model;
  model.failure_ratio_ = 0.1;
  double total = 0;
  for (unsigned seed = 1; seed <= 4; ++seed) {
    QueryGate gate = MakeQueryGate(4, 1000);
    total += MeanFrom(RunModel(model, gate, 60, seed), 10);
  }
  CHECK(total / 4 > 0.7);
}

// A long outage must not become the baseline: the limit would rise while no
// query is answered, and the recovery would start in overload.
TEST_CASE("the gate recovers after an outage", "[gate]") {
  OverloadModel model;
  model.load_ = 3;
  model.failure_ratio_ = 1;
  QueryGate gate = MakeQueryGate(4, 1000);
  (void)RunModel(model, gate, 300, 1);
  CHECK(GateLimit(gate) == 4);
  model.failure_ratio_ = 0;
  const Instant recovered = Instant{} + std::chrono::seconds(300);
  CHECK(MeanFrom(RunModel(model, gate, 30, 2, recovered), 20) > 0.85);
}

// The limit must not follow a low load and then reject the next burst.
TEST_CASE("the limit does not change below saturation", "[gate]") {
  OverloadModel model;
  model.load_ = 0.5;
  QueryGate gate = MakeQueryGate(4, 100);
  (void)RunModel(model, gate, 30, 1);
  CHECK(GateLimit(gate) == 100);
}

// Refusals by upstreams must not count as missed deadlines.
TEST_CASE("queries that did not run do not change the limit", "[gate]") {
  QueryGate gate = MakeQueryGate(4, 100);
  Instant now{};
  for (int i = 0; i < 1000; ++i) {
    now += std::chrono::milliseconds(1);
    REQUIRE(AdmitQuery(gate));
    FinishQuery(gate, QueryCompletion::kNotRun, now);
  }
  CHECK(GateLimit(gate) == 100);
}

}  // namespace
}  // namespace clementinerill
