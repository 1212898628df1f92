#ifndef CLEMENTINERILL_CONTROL_CONFIGURATION_STATUS_H_
#define CLEMENTINERILL_CONTROL_CONFIGURATION_STATUS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "control/configuration_phase.h"
#include "control/configuration_state.h"
#include "control/peer_version.h"
#include "control/store_health.h"

namespace clementinerill {

/// @brief Failures shorter than this are not reported as an outage.
inline constexpr std::chrono::seconds kOutageThreshold{3};

/// @brief The configuration of a daemon as shown to operators.
struct ConfigurationStatus {
  ConfigurationPhase phase_ = ConfigurationPhase::kWaiting;
  uint64_t version_ = 0;
  std::string change_id_;
  ConfigurationSource source_ = ConfigurationSource::kStartUp;
  std::optional<Duration> age_;  ///< Time since the version was applied.
  StoreHealth store_ = StoreHealth::kNotAsked;
  std::optional<Duration> outage_;  ///< Time since the first failed call.
  /// Time since the last response of the store to this daemon, if any.
  std::optional<Duration> staleness_;
  /// Highest version known at this daemon, its peers or the store.
  uint64_t newest_known_version_ = 0;
  std::vector<std::string> problems_;  ///< One sentence each, for operators.
};

/// @brief Describes `state`; `peers` are the reachable peers.
[[nodiscard]] ConfigurationStatus DescribeState(
    const ConfigurationState& state,
    const std::vector<PeerVersion>& peers,
    Instant now);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONTROL_CONFIGURATION_STATUS_H_
