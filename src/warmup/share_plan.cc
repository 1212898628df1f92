#include "warmup/share_plan.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace clementinerill {

namespace {

double AvailablePartsPerSecond(const ReplicaLoad& replica) noexcept {
  const double seconds =
      std::chrono::duration<double>(std::max(replica.latency_, Duration(1)))
          .count();
  const double available =
      kPlannedUtilization * replica.limit_ - replica.other_load_;
  return std::max(0.0, available) / seconds;
}

}  // namespace

SharePlan PlanShares(const std::vector<ReplicaLoad>& replicas,
                     double parts_per_second) {
  SharePlan plan;
  double total = 0;
  for (const auto& replica : replicas) {
    plan.shares_.push_back(AvailablePartsPerSecond(replica));
    total += plan.shares_.back();
  }
  if (total <= 0) {
    std::fill(plan.shares_.begin(), plan.shares_.end(), 0.0);
    plan.refused_share_ = 1;
    return plan;
  }
  const double scale = 1 / std::max(total, parts_per_second);
  for (double& share : plan.shares_) {
    share *= total >= parts_per_second ? 1 / total : scale;
  }
  plan.refused_share_ =
      std::max(0.0, 1 - total / std::max(total, parts_per_second));
  return plan;
}

}  // namespace clementinerill
