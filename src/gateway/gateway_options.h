#ifndef CLEMENTINERILL_GATEWAY_GATEWAY_OPTIONS_H_
#define CLEMENTINERILL_GATEWAY_GATEWAY_OPTIONS_H_

#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "gateway/duty_options.h"
#include "gateway/store_codec.h"
#include "gateway/usage_options.h"
#include "gateway/wire_names.h"
#include "settings/endpoint.h"
#include "traffic/fleet_state.h"
#include "traffic/replica_directory.h"

namespace clementinerill::gateway {

/// @brief The configuration of a gateway daemon at start-up.
struct GatewayOptions {
  std::string name_;  ///< Unique among the daemons.
  std::string failure_domain_;
  Endpoint caller_listen_;
  Endpoint ready_listen_;
  std::optional<Endpoint> metrics_listen_;
  Endpoint store_;
  /// Address at which this daemon relays its copy of the store to others.
  std::optional<Endpoint> relay_listen_;
  /// Address at which this daemon gathers queries for others.
  std::optional<Endpoint> forward_listen_;
  std::string region_;
  /// Relays to start from while the store is unavailable.
  std::vector<Endpoint> seeds_;
  int capacity_ = 0;  ///< CPU of this process in thousandths of a core.
  /// Memory that this process may use; that of the smallest VMs if not set.
  uint64_t memory_bytes_ = 160'000'000;
  /// Descriptors that this process may use; those of the system if not set.
  uint64_t max_descriptors_ = std::numeric_limits<uint64_t>::max();
  /// The strictest of the bounds within which a change in the store must be in
  /// force.
  Duration max_propagation_delay_ = std::chrono::seconds(3);
  /// How long leaving replicas may be used if there is no other one.
  Duration leaving_grace_ = traffic::kLeavingGrace;
  /// The duty for which the daemons elect a holder, if there is one.
  std::optional<DutyOptions> duty_;
  Duration stop_grace_ = std::chrono::seconds(6);  ///< From SIGTERM to SIGKILL.
  traffic::FleetLimits limits_;
  std::optional<UsageOptions> usage_;  ///< Unset: usage is not reported.
  WireNames names_;
  StoreCodec store_codec_;
  /// Reads the text of the settings, to detect a change.
  std::function<std::string()> read_settings_;
  /// Reloads the settings; an error is logged and leaves the current ones.
  std::function<Result<GatewayOptions>()> reload_;
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_GATEWAY_OPTIONS_H_
