#include "rollout/rollout_plan.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace clementinerill {

namespace {

// Share of the version with less traffic, since both need enough samples. At
// 100% only the new version does; the old one is replaced by its baseline.
double SampledShare(int share) noexcept {
  const double new_share = share / 10000.0;
  return share < 10000 ? std::min(new_share, 1 - new_share) : new_share;
}

double MinStepSeconds(const StepShape& shape, double lowest_rate) noexcept {
  const double sampling = kSampleMargin *
                          static_cast<double>(shape.needed_requests_) /
                          (lowest_rate * SampledShare(shape.share_));
  return std::max(sampling, static_cast<double>(kShortestStep.count()));
}

double LowestRate(const RolloutRequest& request) noexcept {
  double rate = request.routes_[0].requests_per_second_;
  for (const auto& route : request.routes_) {
    rate = std::min(rate, route.requests_per_second_);
  }
  return rate;
}

std::string DescribeProblem(const RolloutRequest& request) {
  if (request.id_.empty() || request.pool_.empty()) {
    return "a rollout needs an id and a pool";
  }
  if (request.old_version_.empty() || request.new_version_.empty() ||
      request.old_version_ == request.new_version_) {
    return "a rollout needs two different versions";
  }
  if (request.routes_.empty()) {
    return "a rollout needs at least one route";
  }
  for (const auto& route : request.routes_) {
    if (!(route.requests_per_second_ > 0)) {
      return "route '" + route.route_ +
             "' has no traffic, so the versions cannot be compared on it";
    }
  }
  return {};
}

void AddSteps(RolloutPlan& plan) {
  WallTime until = plan.target_ - kFinishMargin;
  const double total_seconds =
      std::chrono::duration<double>(until - plan.start_).count();
  for (size_t i = kStepShapes.size(); i-- > 0;) {
    const StepShape& shape = kStepShapes[i];
    plan.steps_.insert(plan.steps_.begin(),
                       {shape.share_, shape.needed_requests_, until});
    until -= std::chrono::milliseconds(
        std::llround(1000 * total_seconds * shape.time_fraction_));
  }
}

}  // namespace

WallTime EarliestTarget(const RolloutRequest& request, WallTime now) {
  double total_seconds = 0;
  for (const auto& shape : kStepShapes) {
    const double step_seconds = MinStepSeconds(shape, LowestRate(request));
    total_seconds =
        std::max(total_seconds, step_seconds / shape.time_fraction_);
  }
  return now + kFinishMargin +
         std::chrono::seconds(std::llround(std::ceil(total_seconds)));
}

Result<RolloutPlan> PlanRollout(const RolloutRequest& request, WallTime now) {
  if (auto problem = DescribeProblem(request); !problem.empty()) {
    return Fail(std::move(problem));
  }
  const WallTime earliest = EarliestTarget(request, now);
  if (request.target_ < earliest) {
    return Fail("target time " + Format(request.target_) +
                " is too near to judge every step; the earliest feasible is " +
                Format(earliest));
  }
  RolloutPlan plan{request.id_,
                   request.old_version_,
                   request.new_version_,
                   request.pool_,
                   {},
                   now,
                   request.target_,
                   {}};
  for (const auto& route : request.routes_) {
    plan.routes_.push_back(route.route_);
  }
  AddSteps(plan);
  return plan;
}

}  // namespace clementinerill
