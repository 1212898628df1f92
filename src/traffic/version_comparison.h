#ifndef CLEMENTINERILL_TRAFFIC_VERSION_COMPARISON_H_
#define CLEMENTINERILL_TRAFFIC_VERSION_COMPARISON_H_

#include <cstdint>

#include "base/time.h"
#include "traffic/attempt_outcome.h"
#include "traffic/rollout_order.h"

namespace clementinerill::traffic {

/// @brief Attempts at one version since the order.
struct VersionOutcomes {
  int64_t attempts_ = 0;
  int64_t bad_ = 0;  ///< Failed, or several times slower than the median.
  /// Attempts that may have run and are no evidence; not part of `attempts_`.
  int64_t unjudged_ = 0;
};

/// @brief Evidence of one daemon about the target and the current version of a
/// rollout.
struct VersionComparison {
  RolloutOrder order_;
  VersionOutcomes target_;
  VersionOutcomes current_;
  bool is_bad_ = false;  ///< The target version was found to be bad.
};

/// @brief Records the outcome of an attempt. Ignores requests that were not run
/// and attempts that this side cancelled, which are no evidence about a
/// version.
void RecordVersionOutcome(VersionComparison& comparison,
                          bool is_target,
                          AttemptOutcome outcome,
                          Duration took,
                          Duration median_latency);

/// @brief Whether the target version is clearly worse than the current one.
[[nodiscard]] bool IsClearlyWorse(const VersionComparison& comparison) noexcept;

/// @brief Returns the share of requests for the target version at `now`.
///
/// The share is small while a fault may still appear and larger towards the
/// end, so that a fault that only appears under load is detected too. Until the
/// rollout is completed, the target version gets less than a tenth of all
/// requests.
[[nodiscard]] double TargetShare(const VersionComparison& comparison,
                                 Instant now) noexcept;

/// @brief Whether a rollout without a detected fault is due for completion.
[[nodiscard]] bool MayComplete(const VersionComparison& comparison,
                               Instant now) noexcept;

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_VERSION_COMPARISON_H_
