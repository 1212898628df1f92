#ifndef CLEMENTINERILL_ROLLOUT_JUDGE_H_
#define CLEMENTINERILL_ROLLOUT_JUDGE_H_

#include <cstdint>
#include <vector>

#include "rollout/route_counts.h"
#include "rollout/verdict.h"

namespace clementinerill {

/// Probability that repeated evaluations of one comparison ever stop a good
/// version. With 20 routes, 3 comparisons and 6 periods per rollout, at most 1
/// good rollout in 270 is stopped by chance.
inline constexpr double kJudgeAlpha = 1e-5;

/// @brief Regression of the new version that is tolerated.
struct JudgeTolerance {
  double error_rate_ = 0.002;   ///< Added to the old version's error rate.
  double latency_ratio_ = 1.2;  ///< Times the old version's quantile.
};

/// Tolerance for comparisons with a recorded baseline. The query mix changes
/// over the day, so comparing different periods needs a wider tolerance.
inline constexpr JudgeTolerance kBaselineTolerance{0.02, 2.0};

/// @brief Compares both versions on every route over the current step.
///
/// Error rates are compared by Wilson bounds, latencies by bounds of the median
/// and the 95th percentile. All bounds are time-uniform (they hold under
/// repeated evaluation), so the function may be called at any interval. Returns
/// `kStop` for the first route that is worse; otherwise `kHold` if a route has
/// fewer than `needed_requests` of either version.
[[nodiscard]] Verdict Judge(const std::vector<RouteCounts>& routes,
                            uint64_t needed_requests,
                            const JudgeTolerance& tolerance,
                            uint64_t generation);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROLLOUT_JUDGE_H_
