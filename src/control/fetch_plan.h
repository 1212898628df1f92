#ifndef CLEMENTINERILL_CONTROL_FETCH_PLAN_H_
#define CLEMENTINERILL_CONTROL_FETCH_PLAN_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "control/configuration_state.h"
#include "control/peer_version.h"
#include "control/store_role.h"

namespace clementinerill {

/// @brief Time to wait for a response before the next peer is tried.
inline constexpr std::chrono::milliseconds kPeerRequestTimeout{1'000};

/// @brief The sources from which to request a configuration now.
struct FetchPlan {
  std::optional<std::string> peer_;  ///< Send `config_request` to this peer.
  bool store_due_ = false;           ///< Call the store now.
};

/// @brief Chooses the sources to request a configuration from.
///
/// `peers` are the reachable peers. A peer that reports a higher version gets a
/// request immediately; this keeps the reads of a restarted group off the store
/// and works during store outages. The store is also called, on its own
/// schedule, so that a daemon never depends on peers alone.
[[nodiscard]] FetchPlan PlanFetch(const ConfigurationState& state,
                                  const std::vector<PeerVersion>& peers,
                                  StoreRole role,
                                  Instant now);

/// @brief Records that a request was sent to the peer of a plan.
void RecordPeerRequest(ConfigurationState& state, Instant now) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONTROL_FETCH_PLAN_H_
