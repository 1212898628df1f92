#ifndef CLEMENTINERILL_WARMUP_SHARE_PLAN_H_
#define CLEMENTINERILL_WARMUP_SHARE_PLAN_H_

#include <vector>

#include "warmup/replica_load.h"

namespace clementinerill {

/// Part of a replica's limit that planned load may fill. The rest absorbs
/// bursts, hedges and retries.
inline constexpr double kPlannedUtilization = 0.85;

/// @brief Division of the new parts of one service among its replicas.
struct SharePlan {
  std::vector<double> shares_;  ///< Fraction of the offered parts, by replica.
  double refused_ = 0;          ///< Fraction to refuse early as not run.
};

/// @brief Divides `parts_per_second` in proportion to free capacity.
///
/// Free capacity is the planned part of the limit less the other load, divided
/// by the latency, so that a cold replica gets what its limit carries. The
/// expected load of every replica stays within the planned part of its limit;
/// what exceeds the sum is refused. Shares and refused part add up to 1.
[[nodiscard]] SharePlan PlanShares(const std::vector<ReplicaLoad>& replicas,
                                   double parts_per_second);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_WARMUP_SHARE_PLAN_H_
