#include <chrono>
#include <numeric>
#include <set>

#include "property.h"
#include "warmup/domain_ramp.h"
#include "warmup/select_warmup_seat.h"
#include "warmup/share_plan.h"
#include "warmup/warmup_admission.h"

namespace clementinerill {
namespace {

// Guards against two daemons that both select their own seat as the warm-up
// seat, and against the selection of a seat without slots.
TEST_CASE("a single eligible seat warms up a replica", "[warmup]") {
  std::set<int> used;
  for (int i = 0; i < 100; ++i) {
    const std::string replica = "claims-" + std::to_string(i);
    const auto seat = SelectWarmupSeat({1, 1, 0, 1}, replica);
    REQUIRE(seat);
    used.insert(*seat);
    const auto shrunk = SelectWarmupSeat({1, 1, 0}, replica);
    CHECK((*seat == 3 || shrunk == seat));
  }
  CHECK(used == std::set<int>{0, 1, 3});
  CHECK_FALSE(SelectWarmupSeat({0, 0}, "claims-0"));
}

// Guards against limiting two of three replicas at the same time when failure
// domains return to service, for any states and any order of warm-up.
TEST_CASE("at most one third of a service warms up at the same time",
          "[warmup]") {
  CheckProperty(1, 300, [] {
    const int count = *rc::gen::inRange(1, 13);
    std::vector<WarmupCandidate> service;
    service.reserve(count);
    for (int i = 0; i < count; ++i) {
      service.push_back(
          {std::to_string(i), true, true, false, *rc::gen::inRange(0, 4) > 0});
    }
    int spontaneous_count = 0;
    for (const auto& candidate : service) {
      spontaneous_count += candidate.operator_initiated_ ? 0 : 1;
    }
    for (int round = 0; round < count; ++round) {
      const auto admitted = AdmitColdReplicas(service);
      RC_ASSERT(static_cast<int>(admitted.size()) <=
                std::max(spontaneous_count, MaxWarmingReplicas(count)));
      RC_ASSERT(!admitted.empty());
      for (const auto& name : admitted) {
        service[std::stoi(name)].admitted_ = true;
      }
      auto& warmed = service[std::stoi(admitted[0])];
      warmed.cold_ = false;
      spontaneous_count -= warmed.operator_initiated_ ? 0 : 1;
    }
    RC_ASSERT(AdmitColdReplicas(service).empty());
  });
  CHECK(MaxWarmingReplicas(3) == 1);
  CHECK(MaxWarmingReplicas(20) == 6);
}

// Guards against sending the full load at once to a failure domain that has
// returned to service.
TEST_CASE("fast responses raise the limit of a returned domain", "[warmup]") {
  DomainRamp domain;
  CHECK(StartDomainRequest(domain));
  StartDomainRamp(domain, 75);
  CHECK(domain.ramp_.limit_ == 7);
  const auto exchange = [&domain](bool fast, bool shed) {
    const auto ticket = StartDomainRequest(domain);
    REQUIRE(ticket);
    FinishDomainRequest(domain, *ticket, fast, shed);
  };
  for (int i = 0; i < 1000; ++i) {
    exchange(false, false);
  }
  CHECK(domain.ramp_.limit_ == 7);
  for (int i = 0; i < 7 * kResponsesPerSlot; ++i) {
    exchange(true, false);
  }
  CHECK(domain.ramp_.limit_ == 14);
  exchange(false, true);
  CHECK(domain.ramp_.limit_ == 7);
  for (int i = 0; i < (7 + 14 + 28 + 56 + 75) * kResponsesPerSlot; ++i) {
    exchange(true, false);
  }
  CHECK_FALSE(domain.active_);
}

// Guards against shares that overload a replica, and against excess load that
// is neither distributed nor refused.
TEST_CASE("planned load stays within the limit of each replica", "[warmup]") {
  CheckProperty(2, 300, [] {
    std::vector<ReplicaLoad> replicas;
    const int count = *rc::gen::inRange(1, 8);
    replicas.reserve(count);
    for (int i = 0; i < count; ++i) {
      replicas.push_back(
          {*rc::gen::inRange(0, 7), *rc::gen::inRange(0, 4) * 0.5,
           std::chrono::milliseconds(*rc::gen::inRange(1, 900))});
    }
    const double rate = *rc::gen::inRange(1, 400);
    const auto plan = PlanShares(replicas, rate);
    double sum = plan.refused_share_;
    for (int i = 0; i < count; ++i) {
      const double load =
          rate * plan.shares_[i] *
          std::chrono::duration<double>(replicas[i].latency_).count();
      sum += plan.shares_[i];
      RC_ASSERT(load == 0 ||
                load + replicas[i].other_load_ <=
                    kPlannedUtilization * replicas[i].limit_ + 1e-9);
    }
    RC_ASSERT(std::abs(sum - 1) < 1e-9);
  });
}

// Guards against refusals while capacity is available, and against a cold
// replica that receives the share of a warm one.
TEST_CASE("the share of a cold replica follows its limit", "[warmup]") {
  const std::chrono::milliseconds latency(100);
  const auto plan =
      PlanShares({{3, 0, latency}, {3, 0, latency}, {1, 0, latency}}, 50);
  CHECK(plan.refused_share_ == 0);
  CHECK(plan.shares_[2] == Approx(1.0 / 7));
  CHECK(PlanShares({{3, 0, latency}}, 51).refused_share_ == Approx(0.5));
  CHECK(PlanShares({{0, 0, latency}}, 1).refused_share_ == 1);
}

}  // namespace
}  // namespace clementinerill
