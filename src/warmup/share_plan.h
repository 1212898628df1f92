#ifndef CLEMENTINERILL_WARMUP_SHARE_PLAN_H_
#define CLEMENTINERILL_WARMUP_SHARE_PLAN_H_

#include <vector>

#include "warmup/replica_load.h"

namespace clementinerill {

/// Fraction of a replica's limit available to planned load. The rest is
/// headroom for bursts, hedged requests and retries.
inline constexpr double kPlannedUtilization = 0.85;

/// @brief Distribution of the new query parts of a service over its replicas.
struct SharePlan {
  std::vector<double> shares_;  ///< Fraction of the parts for each replica.
  double refused_share_ = 0;    ///< Fraction to refuse before execution.
};

/// @brief Distributes `parts_per_second` in proportion to available capacity.
///
/// The available capacity of a replica is `kPlannedUtilization` of its limit,
/// minus its other load, divided by its latency; a cold replica thus gets only
/// what its limit allows. The expected load of each replica stays within
/// `kPlannedUtilization` of its limit, and parts beyond the total capacity are
/// refused. The shares and the refused share add up to 1.
[[nodiscard]] SharePlan PlanShares(const std::vector<ReplicaLoad>& replicas,
                                   double parts_per_second);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_WARMUP_SHARE_PLAN_H_
