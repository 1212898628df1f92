#ifndef CLEMENTINERILL_CONTROL_FLEET_STATUS_H_
#define CLEMENTINERILL_CONTROL_FLEET_STATUS_H_

#include <chrono>
#include <string>
#include <vector>

#include "base/result.h"
#include "control/rolled_back_change.h"
#include "control/version_report.h"

namespace clementinerill {

/// @brief Key of the object in the store that holds a `FleetStatus`.
inline constexpr const char* kFleetStatusKey = "status/fleet";

/// @brief Minimum interval between two writes of the status.
inline constexpr std::chrono::seconds kStatusWriteInterval{1};

/// @brief Configuration status of all live daemons, stored for operators.
///
/// Written by one daemon from the heartbeats of its peers, so that an operator
/// who waits for a change needs one watch instead of one read per daemon.
struct FleetStatus {
  std::vector<VersionReport> reports_;  ///< One per live daemon.
  std::vector<RolledBackChange> rolled_back_;
};

/// @brief Whether `daemon` is the one that writes the status.
///
/// `live_members` lists the live daemons and may omit `daemon`.
[[nodiscard]] bool WritesFleetStatus(const std::string& daemon,
                                     std::vector<std::string> live_members);

/// @brief Serializes as `{change_id, daemons: [{daemon, version,
/// invalid_version, invalid_reason}], rolled_back: [{version, reason}]}`.
///
/// `change_id` must be unique per write: after a lost response it shows whether
/// the write was applied.
[[nodiscard]] std::string ToJsonText(const FleetStatus& status,
                                     const std::string& change_id);

/// @brief Parses the output of `ToJsonText`.
[[nodiscard]] Result<FleetStatus> ParseFleetStatus(const std::string& text);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONTROL_FLEET_STATUS_H_
