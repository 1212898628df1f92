#ifndef CLEMENTINERILL_ROLLOUT_STOP_REASON_H_
#define CLEMENTINERILL_ROLLOUT_STOP_REASON_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill {

/// @brief Why a rollout was rolled back.
enum class StopReason {
  kNone,
  kErrorRate,      ///< Higher error rate than the old version.
  kLatency,        ///< Higher latency than the old version.
  kClearErrors,    ///< Severe error rate, detected within seconds.
  kClearLatency,   ///< Severe latency, detected within seconds.
  kTooFewSamples,  ///< Could not be judged by the target time.
  kOperator,       ///< Stopped by an operator.
};

inline constexpr std::array<NameEntry<StopReason>, 7> kStopReasonNames = {{
    {StopReason::kNone, "none"},
    {StopReason::kErrorRate, "error_rate"},
    {StopReason::kLatency, "latency"},
    {StopReason::kClearErrors, "clear_errors"},
    {StopReason::kClearLatency, "clear_latency"},
    {StopReason::kTooFewSamples, "too_few_samples"},
    {StopReason::kOperator, "operator"},
}};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROLLOUT_STOP_REASON_H_
