#include <string>

#include <catch2/catch.hpp>

#include "traffic/load_model.h"

// Loads of the heaviest days, without a network. Each test names the pattern
// that the decisions answer.
namespace clementinerill::traffic {
namespace {

constexpr int kShards = 10;
constexpr double kQueriesPerS = 40;

RouteRule Sweep() {
  RouteRule route = MakeSweepRoute(kShards);
  route.min_coverage_ = 0.89;
  return route;
}

std::string Id(int shard, const char* domain) {
  return "shard-" + std::to_string(shard) + "-" + domain;
}

void AddPauses(LoadModel& model) {
  for (int shard = 0; shard < kShards; ++shard) {
    for (const char* domain : {"a", "b", "c"}) {
      Behaviour& behaviour = model.behaviours_[Id(shard, domain)];
      behaviour.pause_ = milliseconds(150);
      behaviour.pause_every_ = milliseconds(3600);
    }
  }
}

// Pattern: each replica pauses for 150 ms every 3.6 s. Guards against sweeps
// that wait out a pause, and against second attempts without need.
TEST_CASE("pausing replicas", "[load]") {
  LoadModel model(Sweep(), kQueriesPerS, 1);
  AddPauses(model);
  const LoadResult with = model.Play(seconds(40));
  LoadModel without_extras(Sweep(), kQueriesPerS, 1);
  AddPauses(without_extras);
  without_extras.fleet_.state_.limits_.extra_attempts_ = {0, 0, seconds(10)};
  const LoadResult without = without_extras.Play(seconds(40));
  INFO("complete in time " << with.complete_in_time_ << " of " << with.queries_
                           << ", without second attempts "
                           << without.complete_in_time_ << ", extra "
                           << with.Extra());
  CHECK(with.complete_in_time_ >= 0.95 * with.queries_);
  CHECK(without.complete_in_time_ < 0.9 * without.queries_);
  CHECK(with.Extra() <= 0.06);
}

// Pattern: in each shard one or two of three replicas refuse 60% of their
// requests before running them. Guards against a budget that is spent on
// replicas that are known to refuse, after which parts are lost.
TEST_CASE("half of the replicas shed", "[load]") {
  LoadModel model(Sweep(), kQueriesPerS, 2);
  AddPauses(model);
  for (int shard = 0; shard < kShards; ++shard) {
    model.behaviours_[Id(shard, "a")].shed_share_ = 0.6;
    model.behaviours_[Id(shard, "b")].shed_share_ = shard % 2 == 0 ? 0.6 : 0;
  }
  const LoadResult result = model.Play(seconds(40));
  INFO("in time " << result.InTime() << ", extra " << result.Extra()
                  << ", failed " << result.failed_);
  CHECK(result.InTime() >= 0.95);
  CHECK(result.Extra() <= 0.2);
}

// Pattern: the same on one of 30 daemons, which sends each replica two requests
// a second and has a thirtieth of the slack. Guards against learning so slowly,
// or forgetting so soon, that every request meets a refusal.
TEST_CASE("half of the replicas shed, little traffic a daemon", "[load]") {
  LoadModel model(Sweep(), 2, 2, 30);
  for (int shard = 0; shard < kShards; ++shard) {
    model.behaviours_[Id(shard, "a")].shed_share_ = 0.6;
    model.behaviours_[Id(shard, "b")].shed_share_ = shard % 2 == 0 ? 0.6 : 0;
  }
  const LoadResult result = model.Play(seconds(120));
  INFO("in time " << result.InTime() << ", extra " << result.Extra()
                  << ", failed " << result.failed_);
  CHECK(result.InTime() >= 0.9);
}

// Pattern: 15% of the replicas of all shards are 8.5 times slower. Guards
// against going back to them with many requests.
TEST_CASE("slow replicas across the shards", "[load]") {
  LoadModel model(Sweep(), kQueriesPerS, 3);
  AddPauses(model);
  for (int shard = 0; shard < kShards; shard += 2) {
    model.behaviours_[Id(shard, "a")].slow_factor_ = 8.5;
  }
  const LoadResult result = model.Play(seconds(40));
  INFO("in time " << result.InTime() << ", extra " << result.Extra());
  CHECK(result.InTime() >= 0.95);
  CHECK(result.Extra() <= 0.12);
}

// Pattern: one replica of each third shard accepts requests and answers
// nothing. Guards against sweeps that wait for it each time.
TEST_CASE("dark replicas across the shards", "[load]") {
  LoadModel model(Sweep(), kQueriesPerS, 4);
  AddPauses(model);
  for (int shard = 0; shard < kShards; shard += 3) {
    model.behaviours_[Id(shard, "a")].is_dark_ = true;
  }
  const LoadResult result = model.Play(seconds(40));
  INFO("in time " << result.InTime() << ", extra " << result.Extra());
  CHECK(result.InTime() >= 0.95);
}

// Pattern: all replicas of one shard are dark. Guards against sweeps that wait
// for a shard which is known to be lost, and against losing the others.
TEST_CASE("a whole shard is dark", "[load]") {
  LoadModel model(Sweep(), kQueriesPerS, 5);
  for (const char* domain : {"a", "b", "c"}) {
    model.behaviours_[Id(4, domain)].is_dark_ = true;
  }
  const LoadResult result = model.Play(seconds(40));
  INFO("in time " << result.InTime() << ", extra " << result.Extra());
  CHECK(result.InTime() >= 0.97);
}

// Pattern: four of ten shards are left with one replica, which gets about as
// many requests as it can serve. Guards against sweeps that all wait for the
// same queues, while each could do without one of these shards.
TEST_CASE("one replica is left in several shards", "[load]") {
  LoadModel model(Sweep(), 250, 7);
  AddPauses(model);
  for (const int shard : {0, 3, 5, 8}) {
    for (size_t i = 1; i < 3; ++i) {
      model.fleet_.Replica("shard-" + std::to_string(shard), i).misdirected_ =
          true;
    }
  }
  const LoadResult result = model.Play(seconds(20));
  INFO("in time " << result.InTime() << ", extra " << result.Extra());
  CHECK(result.InTime() >= 0.9);
}

// Pattern: two shards of ten are lost, less than the least coverage is left.
// Guards against holding callers that cannot be served.
TEST_CASE("too many shards are lost", "[load]") {
  LoadModel model(Sweep(), kQueriesPerS, 6);
  for (const int shard : {1, 2}) {
    for (size_t i = 0; i < 3; ++i) {
      model.fleet_.Replica("shard-" + std::to_string(shard), i).misdirected_ =
          true;
    }
  }
  const LoadResult result = model.Play(seconds(5));
  CHECK(result.refused_ == result.queries_);
  CHECK(result.longest_refusal_ == Duration::zero());
}

}  // namespace
}  // namespace clementinerill::traffic
