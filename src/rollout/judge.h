#ifndef CLEMENTINERILL_ROLLOUT_JUDGE_H_
#define CLEMENTINERILL_ROLLOUT_JUDGE_H_

#include <cstdint>
#include <vector>

#include "rollout/route_counts.h"
#include "rollout/verdict.h"

namespace clementinerill {

/// Probability that one comparison of a good version ever gives a false stop.
/// With 20 routes, 3 comparisons and 6 periods per rollout at most 1 rollout
/// in 270 is stopped by chance.
inline constexpr double kJudgeAlpha = 1e-5;

/// @brief How much worse the new version may be.
struct JudgeTolerance {
  double error_rate_ = 0.002;   ///< Added to the old version's error rate.
  double latency_ratio_ = 1.2;  ///< Times the old version's quantile.
};

/// Tolerance against a recorded baseline. The query mix changes over the day,
/// so a comparison of different periods must allow more.
inline constexpr JudgeTolerance kBaselineTolerance{0.02, 2.0};

/// @brief Compares the versions on every route since the step began.
///
/// The error rate is compared by Wilson bounds and the latency by bounds of
/// the median and the 95th percentile; all hold for repeated looks, so the
/// function may be called at any interval. The first route that is worse gives
/// `kStop`; else a route with fewer than `needed_requests` of either
/// version gives `kHold`.
[[nodiscard]] Verdict Judge(const std::vector<RouteCounts>& routes,
                            uint64_t needed_requests,
                            const JudgeTolerance& tolerance,
                            uint64_t generation);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROLLOUT_JUDGE_H_
