#include <chrono>
#include <cstdio>

#include <catch2/catch.hpp>

#include "duty/duty_model.h"

namespace clementinerill::duty {
namespace {

using Clock = std::chrono::steady_clock;

void Print(const char* name,
           const ModelResult& result,
           Clock::time_point start) {
  const std::chrono::duration<double> took = Clock::now() - start;
  std::printf("%s: %zu states, %zu after a takeover, depth %d, %.1f s\n", name,
              result.states_, result.takeovers_, result.depth_, took.count());
  if (!result.violation_.empty()) {
    std::printf("  %s:\n", result.violation_.c_str());
  }
  for (const std::string& step : result.trace_) {
    std::printf("    %s\n", step.c_str());
  }
}

ModelResult Check(const char* name,
                  const ModelBounds& bounds,
                  const Mutation& mutation = {}) {
  const auto start = Clock::now();
  ModelResult result = CheckModel(bounds, mutation);
  Print(name, result, start);
  return result;
}

ModelResult Walk(const char* name,
                 const ModelBounds& bounds,
                 int walks,
                 const Mutation& mutation = {}) {
  const auto start = Clock::now();
  ModelResult result = WalkModel(bounds, walks, mutation);
  Print(name, result, start);
  return result;
}

void CheckHolds(const char* name, const ModelBounds& bounds) {
  const ModelResult result = Check(name, bounds);
  CHECK(result.violation_.empty());
  CHECK(result.takeovers_ > 0);
}

// The bounds are passing time in ticks, with up to so many writes without a
// response, restored stores and restarts. Guards against any order of events
// within the bounds in which two holders send one token, the API receives a
// lower one, or holders act in the order A, B, A.
TEST_CASE("The rules of the API hold in all states", "[model]") {
  CheckHolds("three daemons", {3, 4, 0, 0, 0});
  CheckHolds("three daemons, a late or lost write", {3, 3, 1, 0, 0});
  CheckHolds("three daemons, a restored store", {3, 3, 0, 1, 0});
  CheckHolds("three daemons, a restart", {3, 3, 0, 0, 1});
  CheckHolds("two daemons", {2, 6, 0, 0, 0});
  CheckHolds("two daemons, a late or lost write", {2, 5, 1, 0, 0});
  CheckHolds("two daemons, a restored store", {2, 5, 0, 1, 0});
}

// Takes about a minute, and is run by hand: duty_test "[deep]".
TEST_CASE("The rules of the API hold in more states", "[.deep]") {
  CheckHolds("three daemons", {3, 5, 0, 0, 0});
  CheckHolds("three daemons, a late or lost write", {3, 4, 1, 0, 0});
  CheckHolds("three daemons, a restored store", {3, 4, 0, 1, 0});
  CheckHolds("three daemons, a restart", {3, 4, 0, 0, 1});
  CheckHolds("three daemons, a late or lost write and a restored store",
             {3, 3, 1, 1, 0});
  CheckHolds("two daemons", {2, 8, 0, 0, 0});
  CheckHolds("two daemons, a late or lost write", {2, 6, 1, 0, 0});
  CheckHolds("two daemons, a restored store", {2, 6, 0, 1, 0});
}

TEST_CASE("The rules of the API hold on long random ways", "[model]") {
  const ModelResult result = Walk("random ways", {3, 30, 4, 2, 2}, 1000);
  CHECK(result.violation_.empty());
  CHECK(result.takeovers_ > 0);
}

// A response may come any time after the write took effect, so that the lease
// would still run when another daemon takes over.
TEST_CASE("The model finds a lease that counts from the response", "[model]") {
  Mutation mutation;
  mutation.after_write_ = [](State& state, BootInstant now) {
    if (!state.must_read_) {
      state.lease_->sent_at_ = now;
    }
  };
  const ModelResult result =
      Check("lease from the response", {3, 5, 0, 0, 0}, mutation);
  CHECK_FALSE(result.violation_.empty());
  CHECK_FALSE(result.trace_.empty());
}

// Counts the tokens of a process instead of that of the object.
TEST_CASE("The model finds a token that is kept only in memory", "[model]") {
  Mutation mutation;
  mutation.after_action_ = [](State& state, Action& action) {
    const bool renews =
        state.lease_ && state.lease_->token_ == action.record_.token_;
    if (!renews) {
      const int64_t previous = state.lease_ ? state.lease_->token_ : 0;
      action.record_.token_ = *NextToken(
          EraOfToken(previous) == state.era_ ? previous : 0, state.era_, 0);
      state.unresolved_.back().record_.token_ = action.record_.token_;
    }
  };
  const ModelResult result =
      Check("token in memory", {3, 4, 0, 0, 0}, mutation);
  CHECK_FALSE(result.violation_.empty());
  CHECK_FALSE(result.trace_.empty());
}

}  // namespace
}  // namespace clementinerill::duty
