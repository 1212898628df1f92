#include <algorithm>
#include <iterator>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "traffic/load_model.h"

// Simulations of peak load without a network. The comment of each test names
// the load pattern that it covers.
namespace clementinerill::traffic {
namespace {

constexpr int kShards = 10;
constexpr double kQueriesPerS = 40;

RouteRule FanOutRoute() {
  RouteRule route = MakeFanOutRoute(kShards);
  route.min_coverage_ = 0.89;
  return route;
}

std::string Id(int shard, const char* domain) {
  return "shard-" + std::to_string(shard) + "-" + domain;
}

void AddPauses(LoadModel& model) {
  for (int shard = 0; shard < kShards; ++shard) {
    for (const char* domain : {"a", "b", "c"}) {
      ReplicaBehaviour& behaviour = model.behaviours_[Id(shard, domain)];
      behaviour.pause_ = milliseconds(150);
      behaviour.pause_every_ = milliseconds(3600);
    }
  }
}

std::vector<Instant> After(Duration since_start,
                           const std::vector<Instant>& arrivals) {
  std::vector<Instant> later;
  std::copy_if(
      arrivals.begin(), arrivals.end(), std::back_inserter(later),
      [since_start](Instant arrival) { return arrival >= At(since_start); });
  return later;
}

// Each replica pauses for 150 ms every 3.6 s. Guards against fan-out queries
// that wait for the end of a pause, and against unnecessary extra attempts.
TEST_CASE("hedges cover pauses of replicas", "[load]") {
  LoadModel model(FanOutRoute(), kQueriesPerS, 1);
  AddPauses(model);
  const LoadResult with = model.Simulate(seconds(40));
  LoadModel without_extras(FanOutRoute(), kQueriesPerS, 1);
  AddPauses(without_extras);
  without_extras.fleet_.state_.limits_.extra_attempts_ = {0, 0, seconds(10)};
  const LoadResult without = without_extras.Simulate(seconds(40));
  INFO("complete in time " << with.complete_in_time_ << " of " << with.queries_
                           << ", without extra attempts "
                           << without.complete_in_time_ << ", extra "
                           << with.ExtraRatio());
  CHECK(with.complete_in_time_ >= 0.95 * with.queries_);
  CHECK(without.complete_in_time_ < 0.9 * without.queries_);
  CHECK(with.ExtraRatio() <= 0.06);
}

// In each shard one or two of three replicas refuse 60% of their requests
// before running them. Guards against exhausting the budget at replicas that
// are known to refuse, after which parts are lost.
TEST_CASE("half of the replicas shed requests", "[load]") {
  LoadModel model(FanOutRoute(), kQueriesPerS, 2);
  AddPauses(model);
  for (int shard = 0; shard < kShards; ++shard) {
    model.behaviours_[Id(shard, "a")].shed_share_ = 0.6;
    model.behaviours_[Id(shard, "b")].shed_share_ = shard % 2 == 0 ? 0.6 : 0;
  }
  const LoadResult result = model.Simulate(seconds(40));
  INFO("in time " << result.InTimeRatio() << ", extra " << result.ExtraRatio()
                  << ", failed " << result.failed_);
  CHECK(result.InTimeRatio() >= 0.95);
  CHECK(result.ExtraRatio() <= 0.2);
}

// As above, on one of 30 daemons, which sends two queries per second and has a
// thirtieth of the slack. Guards against estimates that adapt so slowly, or
// decay so soon, that every request is refused.
TEST_CASE("half of the replicas shed requests of a daemon with little traffic",
          "[load]") {
  LoadModel model(FanOutRoute(), 2, 2, 30);
  for (int shard = 0; shard < kShards; ++shard) {
    model.behaviours_[Id(shard, "a")].shed_share_ = 0.6;
    model.behaviours_[Id(shard, "b")].shed_share_ = shard % 2 == 0 ? 0.6 : 0;
  }
  const LoadResult result = model.Simulate(seconds(120));
  INFO("in time " << result.InTimeRatio() << ", extra " << result.ExtraRatio()
                  << ", failed " << result.failed_);
  CHECK(result.InTimeRatio() >= 0.9);
}

// About 15% of the replicas of all shards are 8.5 times slower. Guards against
// sending them many requests again before they have recovered.
TEST_CASE("slow replicas in several shards", "[load]") {
  LoadModel model(FanOutRoute(), kQueriesPerS, 3);
  AddPauses(model);
  for (int shard = 0; shard < kShards; shard += 2) {
    model.behaviours_[Id(shard, "a")].slow_factor_ = 8.5;
  }
  const LoadResult result = model.Simulate(seconds(40));
  INFO("in time " << result.InTimeRatio() << ", extra " << result.ExtraRatio());
  CHECK(result.InTimeRatio() >= 0.95);
  CHECK(result.ExtraRatio() <= 0.12);
}

// A wave of slow replicas hits a fleet of 290 daemons that get a third of a
// query per second each, as at 295 VMs. Guards against daemons that learn of
// each slow replica alone, one query after the other: an aggregator, which gets
// the queries of a tenth of them, learns within the first seconds.
TEST_CASE("an aggregator avoids a wave of slow replicas", "[load]") {
  const auto simulate = [](double queries_per_s, int daemons, Duration length) {
    RouteRule route = MakeFanOutRoute(90);
    route.min_coverage_ = 0.95;
    LoadModel model(route, queries_per_s, 5, daemons);
    model.fleet_.state_.limits_.extra_attempts_ = {0.2, 630, seconds(10)};
    for (int shard = 0; shard < 90; shard += 2) {
      model.behaviours_[Id(shard, "a")].slow_factor_ = 8.5;
    }
    return model.Simulate(length);
  };
  const LoadResult alone = simulate(0.33, 290, seconds(60));
  const LoadResult aggregator = simulate(10, 290, seconds(10));
  INFO("in time: a daemon alone " << alone.InTimeRatio() << ", an aggregator "
                                  << aggregator.InTimeRatio());
  CHECK(aggregator.InTimeRatio() >= 0.9);
  CHECK(aggregator.InTimeRatio() >= alone.InTimeRatio() + 0.2);
}

// One replica of every third shard accepts requests and never responds. Guards
// against fan-out queries that wait for it each time.
TEST_CASE("unresponsive replicas in several shards", "[load]") {
  LoadModel model(FanOutRoute(), kQueriesPerS, 4);
  AddPauses(model);
  for (int shard = 0; shard < kShards; shard += 3) {
    model.behaviours_[Id(shard, "a")].is_unresponsive_ = true;
  }
  const LoadResult result = model.Simulate(seconds(40));
  INFO("in time " << result.InTimeRatio() << ", extra " << result.ExtraRatio());
  CHECK(result.InTimeRatio() >= 0.95);
}

// No replica of one shard responds. Guards against fan-out queries that wait
// for a shard that is known to be lost, and against losing the other shards.
TEST_CASE("all replicas of one shard are unresponsive", "[load]") {
  LoadModel model(FanOutRoute(), kQueriesPerS, 5);
  for (const char* domain : {"a", "b", "c"}) {
    model.behaviours_[Id(4, domain)].is_unresponsive_ = true;
  }
  const LoadResult result = model.Simulate(seconds(40));
  INFO("in time " << result.InTimeRatio() << ", extra " << result.ExtraRatio());
  CHECK(result.InTimeRatio() >= 0.97);
}

// Four of ten shards have only one usable replica, which gets about as many
// requests as it can serve. Guards against fan-out queries that all wait for
// the same queues although each could skip one of these shards.
TEST_CASE("several shards have only one usable replica", "[load]") {
  LoadModel model(FanOutRoute(), 250, 7);
  AddPauses(model);
  for (const int shard : {0, 3, 5, 8}) {
    for (size_t i = 1; i < 3; ++i) {
      model.fleet_.Replica("shard-" + std::to_string(shard), i).misdirected_ =
          true;
    }
  }
  const LoadResult result = model.Simulate(seconds(20));
  INFO("in time " << result.InTimeRatio() << ", extra " << result.ExtraRatio());
  CHECK(result.InTimeRatio() >= 0.9);
}

// All replicas of three of ten shards accept about half of the requests that
// they get. Guards against sending them more than this daemon's share of what
// they accept, against fan-out queries that wait for them although each could
// skip one, and against refusing more queries than the limits require.
TEST_CASE("the replicas of several shards name a rate limit", "[load]") {
  constexpr int kDaemons = 9;
  constexpr double kLimit = 32;
  LoadModel model(FanOutRoute(), 20, 8, kDaemons);
  AddPauses(model);
  for (const int shard : {0, 3, 5}) {
    for (const char* domain : {"a", "b", "c"}) {
      model.behaviours_[Id(shard, domain)].rate_limit_ = kLimit;
    }
  }
  const LoadResult result = model.Simulate(seconds(40));
  // The first seconds, in which the limits are not known yet, do not count.
  for (const auto& [id, arrivals] : model.arrivals_) {
    const double share = kLimit / kDaemons;
    CHECK(MostWithin(seconds(4), After(seconds(1), arrivals)) <= share * 5 + 1);
  }
  INFO("in time " << result.InTimeRatio() << ", refused " << result.refused_
                  << ", failed " << result.failed_ << " of "
                  << result.queries_);
  // With one of the three shards skipped each, 80% of the queries find permits.
  CHECK(result.InTimeRatio() >= 0.7);
  CHECK(result.longest_refusal_ == Duration::zero());
}

// Two of ten shards are lost, which leaves less than the minimum coverage.
// Guards against callers that wait although they cannot be served.
TEST_CASE("queries are refused at once when too many shards are lost",
          "[load]") {
  LoadModel model(FanOutRoute(), kQueriesPerS, 6);
  for (const int shard : {1, 2}) {
    for (size_t i = 0; i < 3; ++i) {
      model.fleet_.Replica("shard-" + std::to_string(shard), i).misdirected_ =
          true;
    }
  }
  const LoadResult result = model.Simulate(seconds(5));
  CHECK(result.refused_ == result.queries_);
  CHECK(result.longest_refusal_ == Duration::zero());
}

}  // namespace
}  // namespace clementinerill::traffic
