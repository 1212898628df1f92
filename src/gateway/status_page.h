#ifndef CLEMENTINERILL_GATEWAY_STATUS_PAGE_H_
#define CLEMENTINERILL_GATEWAY_STATUS_PAGE_H_

#include <string>

#include <nlohmann/json.hpp>

#include "base/time.h"
#include "traffic/fleet_state.h"

namespace clementinerill::gateway {

/// @brief What this daemon believes, for operators: the configuration in
/// force, daemons, evacuations, rollouts, and the replicas of each service
/// with what this daemon sends them and why.
///
/// Shape: `{configuration_version, daemons: {domain: count}, evacuated: [..],
/// rollouts: [..], services: {name: {routed, extra_attempts, replicas:
/// [..]}}}`. With `service` only that one is listed; an unknown one gives no
/// services.
[[nodiscard]] nlohmann::json StatusOf(const traffic::FleetState& fleet,
                                      const std::string& service,
                                      Instant now);

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_STATUS_PAGE_H_
