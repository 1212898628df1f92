#ifndef CLEMENTINERILL_DAEMON_UPSTREAM_STATE_H_
#define CLEMENTINERILL_DAEMON_UPSTREAM_STATE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "config/upstream.h"
#include "daemon/held_slot.h"
#include "routing/latency_window.h"
#include "routing/upstream_health.h"
#include "sweep/snapshot.h"
#include "upstream/connection_pool.h"
#include "warmup/warmup.h"

namespace clementinerill {

/// @brief What this daemon knows about one upstream.
///
/// All members but `upstream_` and `pool_` are guarded by the mutex of the
/// dispatcher.
struct UpstreamState {
  explicit UpstreamState(const Upstream& upstream)
      : upstream_(upstream), pool_(upstream.address_, upstream.port_) {}

  const Upstream upstream_;  ///< As first declared; labels are in `labels_`.
  ConnectionPool pool_;
  Labels labels_;
  bool open_ = true;
  std::string service_;
  std::string pool_name_;
  std::map<uint64_t, HeldSlot> tokens_;  ///< Slots in use.
  UpstreamHealth health_;
  LatencyWindow latencies_;
  std::optional<std::vector<Snapshot>> offers_;
  std::string process_id_;  ///< From the last response.
  ReplicaWarmup warmup_;
  WarmupLimits warmup_limits_;
  SeatRole seat_role_ = SeatRole::kOther;
  bool seat_role_known_ = false;  ///< Whether `seat_role_` is set.
  bool admitted_ = true;  ///< Whether it may receive requests while cold.
  /// Limit of its failure domain within the pool; never null.
  std::shared_ptr<DomainRamp> domain_ = std::make_shared<DomainRamp>();
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_UPSTREAM_STATE_H_
