#ifndef CLEMENTINERILL_GATEWAY_GATEWAY_OPTIONS_H_
#define CLEMENTINERILL_GATEWAY_GATEWAY_OPTIONS_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "base/time.h"
#include "gateway/store_codec.h"
#include "gateway/wire_names.h"
#include "settings/endpoint.h"
#include "traffic/fleet_state.h"

namespace clementinerill::gateway {

/// @brief Everything that one gateway daemon needs to know at its start.
struct GatewayOptions {
  std::string name_;  ///< Unique among the daemons.
  std::string failure_domain_;
  Endpoint caller_listen_;
  Endpoint ready_listen_;
  std::optional<Endpoint> metrics_listen_;
  Endpoint store_;
  /// Where other daemons ask for this daemon's copy of the store.
  std::optional<Endpoint> relay_listen_;
  /// Relays that may answer while the store does not, for a start without it.
  std::vector<Endpoint> seeds_;
  int capacity_ = 0;  ///< Thousandths of a core for this process.
  /// The shortest time within which a change in the store must be in force.
  Duration max_propagation_delay_ = std::chrono::seconds(3);
  Duration stop_grace_ = std::chrono::seconds(6);  ///< From SIGTERM to SIGKILL.
  traffic::FleetLimits limits_;
  WireNames names_;
  StoreCodec store_codec_;
  /// The text of the settings as they are now, to notice a change.
  std::function<std::string()> read_settings_;
  /// Reads the settings again; logged when they are wrong.
  std::function<Result<GatewayOptions>()> reload_;
};

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_GATEWAY_OPTIONS_H_
