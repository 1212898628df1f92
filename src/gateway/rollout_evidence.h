#ifndef CLEMENTINERILL_GATEWAY_ROLLOUT_EVIDENCE_H_
#define CLEMENTINERILL_GATEWAY_ROLLOUT_EVIDENCE_H_

#include "base/time.h"
#include "mirror/rollout_evidence.h"
#include "traffic/version_comparison.h"

namespace clementinerill::gateway {

/// @brief Converts evidence to the form in which daemons exchange it.
[[nodiscard]] mirror::RolloutEvidence ToMessage(
    const traffic::VersionComparison& comparison,
    Instant now);

/// @brief The reverse of `ToMessage`. Periods that are missing count as empty.
[[nodiscard]] traffic::VersionComparison FromMessage(
    const mirror::RolloutEvidence& evidence,
    Instant now);

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_ROLLOUT_EVIDENCE_H_
