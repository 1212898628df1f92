#ifndef CLEMENTINERILL_TRAFFIC_VERSION_COMPARISON_H_
#define CLEMENTINERILL_TRAFFIC_VERSION_COMPARISON_H_

#include <cstdint>

#include "base/time.h"
#include "traffic/attempt_outcome.h"
#include "traffic/rollout_order.h"

namespace clementinerill::traffic {

/// @brief What one version answered since the order.
struct VersionOutcomes {
  int64_t attempts_ = 0;
  int64_t bad_ = 0;  ///< Failed, or several times slower than usual.
};

/// @brief The evidence of one daemon about a rollout.
struct VersionComparison {
  RolloutOrder order_;
  VersionOutcomes target_;
  VersionOutcomes current_;
  bool is_bad_ = false;  ///< The target version was found to be bad.
};

/// @brief Notes the end of an attempt. Refusals before running and attempts
/// that were cut off on this side say nothing about a version.
void RecordVersion(VersionComparison& comparison,
                   bool is_target,
                   AttemptOutcome outcome,
                   Duration took,
                   Duration usual);

/// @brief Whether the target version is clearly worse than the present one.
[[nodiscard]] bool IsClearlyWorse(const VersionComparison& comparison) noexcept;

/// @brief The share of requests for the target version at `now`.
///
/// Small while a fault may still show, larger before the end, so that a fault
/// under load shows too. Over the whole order the target version gets less than
/// a tenth of the requests unless it is completed.
[[nodiscard]] double TargetShare(const VersionComparison& comparison,
                                 Instant now) noexcept;

/// @brief Whether a rollout without a fault is to be completed now.
[[nodiscard]] bool MayComplete(const VersionComparison& comparison,
                               Instant now) noexcept;

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_VERSION_COMPARISON_H_
