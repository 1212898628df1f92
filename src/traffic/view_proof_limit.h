#ifndef CLEMENTINERILL_TRAFFIC_VIEW_PROOF_LIMIT_H_
#define CLEMENTINERILL_TRAFFIC_VIEW_PROOF_LIMIT_H_

#include <cstdint>
#include <optional>

#include "base/boot_instant.h"
#include "base/time.h"
#include "traffic/fleet_state.h"
#include "traffic/traffic_configuration.h"

namespace clementinerill::traffic {

/// @brief Time that is left between the maximum age of a proof and the time
/// within which a revoked key must not run any more, for requests that are on
/// the way to a replica.
inline constexpr Duration kRevocationMargin = std::chrono::milliseconds(100);

/// @brief The maximum age of the proof of the configuration in use; unset if no
/// proof is required. The only place that decides whether one is.
///
/// @param max_view_age from the settings; see `FleetLimits::max_view_age_`.
/// @param configuration the one in use, or null.
[[nodiscard]] std::optional<Duration> RequiredProofAge(
    std::optional<Duration> max_view_age,
    const TrafficConfiguration* configuration);

/// @brief The same for the view of the traffic thread.
[[nodiscard]] std::optional<Duration> RequiredProofAge(const FleetState& fleet);

/// @brief Whether the proof of the view is recent, or none is required.
[[nodiscard]] bool HasRequiredProof(const FleetState& fleet, BootInstant now);

/// @brief Whether the view allows this daemon to serve callers.
[[nodiscard]] bool CanServe(const FleetState& fleet, BootInstant now);

/// @brief Age of the proof of the view in ms; -1 if there is none.
[[nodiscard]] int64_t ProofAgeMilliseconds(const FleetState& fleet,
                                           BootInstant now);

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_VIEW_PROOF_LIMIT_H_
