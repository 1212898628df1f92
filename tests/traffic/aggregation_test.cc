#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "traffic/fleet_fixture.h"

namespace clementinerill::traffic {
namespace {

using Daemons = std::vector<Aggregator>;

// Daemons of five failure domains, three with much capacity in each, as in a
// fleet of 295 VMs.
std::shared_ptr<const Daemons> LargeFleet(int small_per_domain = 56) {
  auto daemons = std::make_shared<Daemons>();
  for (const char* domain : {"a", "b", "c", "d", "e"}) {
    for (int i = 0; i < 3 + small_per_domain; ++i) {
      const std::string name = std::string(domain) + std::to_string(i);
      daemons->push_back(
          {name, domain, "r", "10.0.0.1", 7741, i < 3 ? 500 : 120});
    }
  }
  return daemons;
}

AggregationPlan PlanFor(const std::shared_ptr<const Daemons>& daemons,
                        const Aggregator& self,
                        const std::vector<std::string>& domains = {"a", "b",
                                                                   "c"}) {
  return PlanAggregation(
      {self.name_, self.failure_domain_, self.region_, daemons, domains});
}

// State of one daemon of a fleet in which each of 20 shards has a replica in
// the failure domains a, b and c.
Fleet FleetOf(const std::shared_ptr<const Daemons>& daemons,
              const Aggregator& self) {
  Fleet fleet({MakeFanOutRoute(20)});
  fleet.state_.name_ = self.name_;
  fleet.state_.failure_domain_ = self.failure_domain_;
  fleet.state_.region_ = self.region_;
  auto view = std::make_shared<TrafficView>(*fleet.state_.view_);
  view->aggregators_ = daemons;
  view->daemons_.clear();
  for (const Aggregator& daemon : *daemons) {
    ++view->daemons_[daemon.failure_domain_];
  }
  ApplyView(fleet.state_, view);
  return fleet;
}

}  // namespace

// Guards against daemons that disagree on who gathers: limits are divided by
// that.
TEST_CASE("all daemons select the same few aggregators", "[aggregation]") {
  const auto daemons = LargeFleet();
  std::set<std::string> aggregators;
  std::map<std::string, int> first_choices;
  for (const Aggregator& self : *daemons) {
    const AggregationPlan plan = PlanFor(daemons, self);
    CHECK(plan.aggregator_count_ == 9);
    if (plan.is_aggregator_) {
      aggregators.insert(self.name_);
      CHECK(self.capacity_ == 500);
      CHECK(plan.preferred_.empty());
      continue;
    }
    REQUIRE(plan.preferred_.size() == 5);
    ++first_choices[plan.preferred_.front().name_];
    const std::string& domain = plan.preferred_.front().failure_domain_;
    if (self.failure_domain_ < "d") {
      CHECK(domain == self.failure_domain_);
    }
    // The last ones are of other failure domains.
    CHECK(plan.preferred_[3].failure_domain_ != domain);
    CHECK(plan.preferred_[4].failure_domain_ != domain);
  }
  CHECK(aggregators.size() == 9);
  // Pattern: many idle entry daemons. No aggregator gets more than twice its
  // part of them.
  CHECK(first_choices.size() == 9);
  for (const auto& [name, count] : first_choices) {
    CHECK(count <= 2 * 286 / 9);
  }
}

TEST_CASE("small fleets and other regions gather by themselves",
          "[aggregation]") {
  auto nine = std::make_shared<Daemons>();
  for (int i = 0; i < 9; ++i) {
    nine->push_back({"vm-" + std::to_string(i), "a", "r", "10.0.0.1", 1, 250});
  }
  CHECK(PlanFor(nine, nine->front()).aggregator_count_ == 0);
  CHECK(PlanFor(nullptr, nine->front()).aggregator_count_ == 0);
  const auto large = LargeFleet();
  CHECK(PlanFor(large, large->back(), {}).aggregator_count_ == 0);
  Aggregator elsewhere = large->back();
  elsewhere.region_ = "other";
  CHECK(PlanFor(large, elsewhere).preferred_.empty());
}

// Pattern: a failure domain is lost or evacuated.
TEST_CASE("aggregators are chosen where the replicas are", "[aggregation]") {
  CHECK(ShardDomains({{"a", 90}, {"b", 90}, {"c", 44}}) ==
        std::vector<std::string>{"a", "b"});
  CHECK(ShardDomains({}).empty());
  const auto daemons = LargeFleet();
  Fleet fleet = FleetOf(daemons, daemons->back());
  CHECK(fleet.state_.aggregation_.aggregator_count_ == 9);
  auto view = std::make_shared<TrafficView>(*fleet.state_.view_);
  view->evacuated_.insert("a");
  ApplyView(fleet.state_, view);
  CHECK(fleet.state_.aggregation_.aggregator_count_ == 6);
  for (const Aggregator& aggregator : fleet.state_.aggregation_.preferred_) {
    CHECK(aggregator.failure_domain_ != "a");
  }
}

// Guards against all daemons together exceeding a limit of a replica, and
// against aggregators that get too small a part of it.
TEST_CASE("the shares of all daemons add up to the limit", "[aggregation]") {
  const auto daemons = LargeFleet();
  double sum = 0;
  double connections = 0;
  for (const Aggregator& self : *daemons) {
    Fleet fleet = FleetOf(daemons, self);
    ServiceState& service = *FindService(fleet.state_, "shard-0");
    service.rule_.max_connections_ = 195;
    sum += LimitShare(fleet.state_, service);
    const ReplicaState& replica = *service.replicas_[0];
    if (MayKeepIdle(fleet.state_, service, replica)) {
      connections += ConnectionLimit(fleet.state_, service, replica, true);
    }
    if (fleet.state_.aggregation_.is_aggregator_) {
      CHECK(ConnectionLimit(fleet.state_, service, replica, true) >= 10);
    }
  }
  CHECK(sum <= 1.0);
  CHECK(sum >= 0.85);
  CHECK(connections <= 195);
}

// Guards against an aggregator that takes more queries than its CPU can gather
// in time, and against one that takes none.
TEST_CASE("an aggregator gathers as many parts as its capacity allows",
          "[aggregation]") {
  CHECK(MaxPartsInProgress(500) == 400);
  CHECK(MaxPartsInProgress(0) >= 54);
  CHECK_FALSE(IsAggregated(MakeFanOutRoute(10)));
  CHECK(IsAggregated(MakeFanOutRoute(36)));
  CHECK_FALSE(IsAggregated(MakeSingleRoute(RequestKind::kIdempotent)));
}

// Pattern: an aggregator is lost in the middle of a burst. Guards against
// queries that wait for it again and again, and against one that is never used
// again.
TEST_CASE("a failing aggregator is avoided for longer each time",
          "[aggregation]") {
  AggregatorHealth health;
  CHECK(IsUsable(health, At({})));
  Instant now = At({});
  Duration last{};
  for (int i = 0; i < 6; ++i) {
    RecordForward(health, ForwardOutcome::kUnacknowledged, now);
    CHECK_FALSE(IsUsable(health, now));
    const Duration pause = health.avoided_until_ - now;
    CHECK(pause >= last);
    CHECK(pause <= seconds(8));
    last = pause;
    now = health.avoided_until_;
    CHECK(IsUsable(health, now));
  }
  RecordForward(health, ForwardOutcome::kAnswered, now);
  RecordForward(health, ForwardOutcome::kBroken, now);
  CHECK(health.avoided_until_ - now == seconds(1));
  AggregatorHealth refusing;
  RecordForward(refusing, ForwardOutcome::kRefused, now);
  CHECK(refusing.failures_in_row_ == 0);
  CHECK(IsUsable(refusing, now + milliseconds(300)));
  // Half of the time of the objective is left for the query at least.
  const RouteRule route = MakeFanOutRoute(36);
  CHECK(AcknowledgeTimeout(route) * 2 <= route.objective_);
}

// Guards against more attempts than a route allows when two daemons gather the
// same query, and against attempts that no budget allows.
TEST_CASE("a repeated query uses fewer attempts and the shared budget",
          "[aggregation]") {
  Fleet fleet({MakeFanOutRoute(4)});
  const RouteRule& route = fleet.Route("search.example", "/sweep/1");
  fleet.state_.limits_.extra_attempts_ = {0.2, 58, seconds(10)};
  QueryOrigin origin;
  origin.is_repeat_ = true;
  origin.elapsed_ = milliseconds(30);
  const Instant now = At({});
  Query query =
      StartQuery(fleet.state_, route, "id", milliseconds(800), now, origin);
  CHECK(query.started_ == now - milliseconds(30));
  CHECK(Advance(fleet.state_, query, now).size() == 4);
  // No hedge and no retry: another daemon may have used the other attempt.
  for (int i = 1; i < 30; ++i) {
    CHECK(Advance(fleet.state_, query, now + milliseconds(i)).empty());
  }
  CHECK(FindService(fleet.state_, "shard-0")
            ->extra_attempt_budget_.SpentCount() == 1);
  fleet.state_.limits_.extra_attempts_.slack_ = 0;
  Query refused =
      StartQuery(fleet.state_, route, "id-2", milliseconds(800), now, origin);
  CHECK(Advance(fleet.state_, refused, now).empty());
  CHECK(refused.parts_[0].failure_reason_ == PartFailureReason::kLimitReached);
}

namespace {

// State of an aggregator in the failure domain a. Of 90 shards, each has
// replicas in three of the domains a to e, as at 295 VMs.
Fleet AggregatorOfSpreadShards() {
  const auto daemons = LargeFleet();
  Fleet fleet = FleetOf(daemons, daemons->front());
  auto configuration = std::make_shared<TrafficConfiguration>();
  configuration->version_ = 2;
  RouteRule route = MakeFanOutRoute(90);
  route.min_coverage_ = 0.95;
  auto view = std::make_shared<TrafficView>(*fleet.state_.view_);
  view->replicas_.clear();
  for (size_t i = 0; i < route.shards_.size(); ++i) {
    configuration->services_[route.shards_[i]].name_ = route.shards_[i];
    for (size_t j = 0; j < 3; ++j) {
      const std::string domain(1, static_cast<char>('a' + (i + j) % 5));
      view->replicas_.push_back(MakeReplica(route.shards_[i] + "-" + domain,
                                            route.shards_[i], domain));
    }
  }
  AddRoute(*configuration, std::move(route));
  view->configuration_ = configuration;
  ApplyView(fleet.state_, view);
  return fleet;
}

Query StartAt(Fleet& fleet, const std::string& id = "id") {
  return StartQuery(fleet.state_, fleet.Route("search.example", "/sweep/1"), id,
                    milliseconds(1200), At({}));
}

}  // namespace

// Guards against parts that cross failure domains one by one.
TEST_CASE("parts without a local replica are delegated", "[aggregation]") {
  Fleet fleet = AggregatorOfSpreadShards();
  REQUIRE(fleet.state_.aggregation_.is_aggregator_);
  Query query = StartAt(fleet);
  REQUIRE_FALSE(query.delegations_.empty());
  CHECK(query.delegations_.size() <= 3);
  size_t delegated = 0;
  size_t skipped = 0;
  for (const Delegation& delegation : query.delegations_) {
    CHECK(delegation.failure_domain_ != "a");
    delegated += delegation.subset_.parts_.size();
    skipped += delegation.subset_.max_skipped_;
    CHECK(delegation.subset_.max_missing_ == 4);
  }
  CHECK(delegated == 36);
  CHECK(skipped <= 4);
  const auto sends = Advance(fleet.state_, query, At({}));
  CHECK(sends.size() == 54);
  for (const SendAction& send : sends) {
    const QueryPart& part = query.parts_[send.part_];
    CHECK(part.attempts_[0].replica_->entry_.failure_domain_ == "a");
  }
  // A subset is not delegated further.
  QueryOrigin origin;
  origin.subset_ = query.delegations_.front().subset_;
  const Query subset = StartQuery(fleet.state_, *query.route_, "id",
                                  milliseconds(1200), At({}), origin);
  CHECK(subset.parts_.size() == origin.subset_->parts_.size());
  CHECK(subset.delegations_.empty());
}

// Guards against an answer that claims more parts than it has, and against one
// that waits for parts that are not needed.
TEST_CASE("the response to a delegation counts by its parts", "[aggregation]") {
  Fleet fleet = AggregatorOfSpreadShards();
  Query query = StartAt(fleet);
  const auto sends = Advance(fleet.state_, query, At({}));
  for (const SendAction& send : sends) {
    RecordAttemptOutcome(fleet.state_, query, send, AttemptOutcome::kAnswered,
                         {}, At(milliseconds(20)));
  }
  (void)Advance(fleet.state_, query, At(milliseconds(20)));
  CHECK(query.outcome_ == QueryOutcome::kOpen);
  RecordDelegation(query, 0, 1, "s", "b");
  for (size_t i = 1; i < query.delegations_.size(); ++i) {
    RecordDelegation(query, i, 0, "s", "b");
  }
  (void)Advance(fleet.state_, query, At(milliseconds(30)));
  CHECK(query.outcome_ == QueryOutcome::kPartial);
  CHECK(CountParts(query, PartState::kAnswered) == 89);
}

// Guards against a refusal that claims that a query has not run although
// another daemon has sent it, and against a query that waits after its
// delegation has failed.
TEST_CASE("a failed delegation ends the query truthfully", "[aggregation]") {
  Fleet fleet = AggregatorOfSpreadShards();
  Query query = StartAt(fleet);
  (void)Advance(fleet.state_, query, At({}));
  FailDelegation(query, 0);
  (void)Advance(fleet.state_, query, At(milliseconds(1)));
  CHECK(query.outcome_ == QueryOutcome::kFailed);
  CHECK(MayHaveRun(query));
}

// Pattern: all of one failure domain is cut off. Guards against parts that are
// lost with the aggregator that should gather them.
TEST_CASE("returned delegations are gathered directly", "[aggregation]") {
  for (const bool may_have_run : {false, true}) {
    Fleet fleet = AggregatorOfSpreadShards();
    fleet.state_.limits_.extra_attempts_ = {0.2, 630, seconds(10)};
    Query query = StartAt(fleet);
    size_t sent = Advance(fleet.state_, query, At({})).size();
    for (size_t i = 0; i < query.delegations_.size(); ++i) {
      ReturnDelegation(query, i, may_have_run, At({}));
    }
    CHECK(MayHaveRun(query));
    sent += Advance(fleet.state_, query, At(milliseconds(1))).size();
    CHECK(sent == 90);
  }
}

}  // namespace clementinerill::traffic
