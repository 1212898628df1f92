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

/// @brief Pause before another peer is asked for the same version.
inline constexpr std::chrono::milliseconds kPeerRequestTimeout{1'000};

/// @brief Where to ask for a configuration now.
struct FetchPlan {
  std::optional<std::string> peer_;  ///< Send `config_request` to this peer.
  bool store_due_ = false;           ///< Call the store now.
};

/// @brief Decides whom to ask.
///
/// `peers` are the reachable peers. A peer that knows a higher version is
/// asked at once, which keeps a restarted group away from the store and covers
/// its outages; the store is asked on its own schedule in addition, so that a
/// daemon never depends on peers alone.
[[nodiscard]] FetchPlan PlanFetch(const ConfigurationState& state,
                                  const std::vector<PeerVersion>& peers,
                                  StoreRole role,
                                  Instant now);

/// @brief Records that the peer of a plan was asked.
void RecordPeerRequest(ConfigurationState& state, Instant now) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONTROL_FETCH_PLAN_H_
