#ifndef CLEMENTINERILL_LIMITS_QUERY_GATE_H_
#define CLEMENTINERILL_LIMITS_QUERY_GATE_H_

#include <optional>

#include <tl/expected.hpp>

#include "base/time.h"
#include "limits/goodput_interval.h"
#include "limits/query_completion.h"
#include "limits/refusal_reason.h"

namespace clementinerill {

/// @brief Minimum completions per interval. With fewer, goodput is too noisy to
/// compare.
inline constexpr int kMinIntervalCompletions = 64;

/// @brief A miss ratio above the baseline by more than this shows that the
/// limit is too high.
inline constexpr double kMissRatioTolerance = 0.05;

/// @brief Congestion collapse: losing more than this part of the deadlines that
/// are met at the baseline halves the limit, except directly after a raise.
inline constexpr double kCollapseMissRatio = 0.5;

/// @brief Smoothing of the baseline miss ratio, in intervals, when it rises.
/// Slow enough that misses caused by an overload do not become the baseline.
inline constexpr int kMissRatioRiseIntervals = 16;

/// @brief Smoothing of the baseline miss ratio, in intervals, when it falls.
inline constexpr int kMissRatioFallIntervals = 2;

/// @brief Upper bound of the baseline miss ratio. Without it a long outage
/// would become the baseline and the limit would rise while no query is
/// answered.
inline constexpr double kMaxBaselineMissRatio = 0.5;

/// @brief A smaller relative change of goodput is attributed to noise.
inline constexpr double kGoodputNoiseTolerance = 0.05;

inline constexpr double kGateIncreaseFactor = 1.15;
inline constexpr double kGateDecreaseFactor = 0.85;
inline constexpr double kGateCollapseFactor = 0.5;

/// @brief Raises after a collapse are capped at this part of the limit that
/// collapsed.
///
/// If queries take most of their deadline, one query too many makes all of them
/// miss it, so the search for the peak must not exceed that limit repeatedly.
inline constexpr double kCollapseHeadroom = 0.9;

/// @brief Number of raises that are capped after a collapse. The cap then ends,
/// so that the limit follows a capacity that has grown.
inline constexpr int kCappedRaises = 16;

/// @brief Adaptive limit on the queries that one daemon runs concurrently.
///
/// The limit is adjusted by hill climbing on goodput: a change that raised
/// goodput is continued and one that lowered it is reversed. Otherwise the
/// limit rises, unless the miss ratio exceeds its baseline; then it falls. It
/// is adjusted only if it refused a query or the miss ratio exceeds the
/// baseline. Misses that do not depend on load, such as those of a failed
/// upstream, become part of the baseline; they would otherwise lower the limit
/// without bound.
///
/// Example, run after each enqueued and each completed query:
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
  bool raised_ = true;  ///< Direction of the last adjustment.
  std::optional<double> previous_goodput_;  ///< Empty after a collapse.
  double baseline_miss_ratio_ = 0;  ///< Miss ratio not caused by the limit.
  double collapsed_limit_ = 0;  ///< Limit at the last collapse after a raise.
  int capped_raises_left_ = 0;  ///< Raises still capped below it.
  GoodputInterval interval_;
};

/// @brief A gate whose limit starts at `highest`.
[[nodiscard]] QueryGate MakeQueryGate(int lowest, int highest) noexcept;

/// @brief Queries that may run now, from `min_limit_` to `max_limit_`.
[[nodiscard]] int GateLimit(const QueryGate& gate) noexcept;

/// @brief Admits a query. Errors: `kGateFull`; the request then waits in the
/// admission queue or is refused.
///
/// A refusal also records that the limit was reached, so callers with queued
/// requests must call this instead of comparing `in_use_` with the limit.
[[nodiscard]] tl::expected<void, RefusalReason> AdmitQuery(
    QueryGate& gate) noexcept;

/// @brief Records the completion of a query and adjusts the limit.
void FinishQuery(QueryGate& gate,
                 QueryCompletion completion,
                 Instant now) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LIMITS_QUERY_GATE_H_
