#ifndef CLEMENTINERILL_GATEWAY_STATUS_PAGE_H_
#define CLEMENTINERILL_GATEWAY_STATUS_PAGE_H_

#include <string>

#include <nlohmann/json.hpp>

#include "base/boot_instant.h"
#include "base/time.h"
#include "traffic/fleet_state.h"

namespace clementinerill::gateway {

/// @brief Returns this daemon's view of the fleet for operators: the
/// configuration in force, daemons, evacuations, rollouts, objects of the store
/// that are not usable, and the replicas of each service with their standing
/// and load.
///
/// Shape: `{daemon, failure_domain, configuration_version, organisations:
/// {count, keys} or null, daemons: {domain: count}, evacuated: [..], rollouts:
/// [..], unusable_objects: [{kind, name, reason}], services: {name: {routed,
/// extra_attempts, replicas: [..]}}}`; besides `proof_age_ms` if a proof of the
/// configuration is required (null: there is none), and `duties: {name:
/// {holder, token, held, candidate}}` and `usage: {..}` if the settings name
/// the duty. A non-empty `service` restricts `services` to that service; it is
/// empty if the service is unknown.
[[nodiscard]] nlohmann::json StatusJson(const traffic::FleetState& fleet,
                                        const std::string& service,
                                        Instant now,
                                        BootInstant boot_now);

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_STATUS_PAGE_H_
