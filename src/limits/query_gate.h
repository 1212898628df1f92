#ifndef CLEMENTINERILL_LIMITS_QUERY_GATE_H_
#define CLEMENTINERILL_LIMITS_QUERY_GATE_H_

#include <optional>

#include <tl/expected.hpp>

#include "base/time.h"
#include "limits/goodput_interval.h"
#include "limits/query_completion.h"
#include "limits/refusal_reason.h"

namespace clementinerill {

/// @brief Fewest ends in an interval. Fewer make goodput too noisy to compare.
inline constexpr int kGateIntervalEnds = 64;

/// @brief Missed fraction above the usual one at which the limit is too high.
inline constexpr double kToleratedMisses = 0.05;

/// @brief Part of the fraction that is usually met whose loss halves the limit.
inline constexpr double kCollapseMisses = 0.5;

/// @brief Intervals over which the usual missed fraction follows a rise, slow
/// enough that misses caused by an overload are not learned as usual.
inline constexpr int kUsualMissesRiseIntervals = 16;

/// @brief Intervals over which the usual missed fraction follows a fall.
inline constexpr int kUsualMissesFallIntervals = 2;

/// @brief Bound of the usual missed fraction. Without it the misses of a long
/// outage become usual and the limit rises while nothing is answered.
inline constexpr double kMostUsualMisses = 0.5;

/// @brief Relative change of goodput that is not attributed to noise.
inline constexpr double kGoodputNoise = 0.05;

inline constexpr double kGateGrowth = 1.15;
inline constexpr double kGateDecrease = 0.85;
inline constexpr double kGateCollapse = 0.5;

/// @brief Part of a limit that collapsed up to which raises go at first.
///
/// Where queries take most of their deadline, one query too many makes all of
/// them miss it, so the limit must not be passed at each search for the peak.
inline constexpr double kCollapseHeadroom = 0.9;

/// @brief Raises after which a collapse is forgotten, so that the limit follows
/// a capacity that has grown.
inline constexpr int kCautiousRaises = 16;

/// @brief Bounds the queries that run at once at one daemon.
///
/// The limit climbs towards the highest goodput: a change that raised goodput
/// is continued, one that lowered it is reversed, and otherwise the limit grows
/// while deadlines are met and falls when they are missed more than usual. It
/// changes only while it keeps queries out or deadlines are missed more than
/// usual. Misses that do not depend on load, such as those of a failed
/// upstream, become usual; they would otherwise lower the limit without end.
///
/// Example, run after each offer and after each end of a query:
/// @code
/// while (QueueLength(queue) > 0 && AdmitQuery(gate)) {
///   const DequeueResult result = DequeueEntry(queue, now);
///   if (!result.entry_) {
///     FinishQuery(gate, QueryCompletion::kNotRun, now);
///   }
/// }
/// @endcode
struct QueryGate {
  double limit_;
  int min_limit_;  ///< At least one.
  int max_limit_;  ///< Queries for which the daemon has threads.
  int in_use_ = 0;
  bool raised_ = true;                      ///< Direction of the last change.
  std::optional<double> previous_goodput_;  ///< Empty after a collapse.
  double usual_misses_ = 0;     ///< Missed fraction not caused by the limit.
  double collapsed_limit_ = 0;  ///< The last limit raised into a collapse.
  int cautious_raises_ = 0;     ///< Raises left that respect it.
  GoodputInterval interval_;
};

/// @brief A gate that starts at `highest`.
[[nodiscard]] QueryGate MakeQueryGate(int lowest, int highest) noexcept;

/// @brief Queries that may run now, from `min_limit_` to `max_limit_`.
[[nodiscard]] int GateLimit(const QueryGate& gate) noexcept;

/// @brief Lets a query run. Errors: `kGateFull`, upon which the request waits
/// in the admission queue or is refused.
///
/// The refusal also records that the limit is binding, so callers with waiting
/// requests must not compare `in_use_` with the limit instead.
[[nodiscard]] tl::expected<void, RefusalReason> AdmitQuery(
    QueryGate& gate) noexcept;

/// @brief Records the end of a query and adapts the limit.
void FinishQuery(QueryGate& gate, QueryCompletion end, Instant now) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LIMITS_QUERY_GATE_H_
