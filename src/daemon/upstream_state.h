#ifndef CLEMENTINERILL_DAEMON_UPSTREAM_STATE_H_
#define CLEMENTINERILL_DAEMON_UPSTREAM_STATE_H_

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/time.h"
#include "config/upstream.h"
#include "routing/latency_window.h"
#include "routing/upstream_health.h"
#include "sweep/snapshot.h"
#include "upstream/connection_pool.h"

namespace clementinerill {

/// @brief What this daemon knows about one upstream.
///
/// All members but `pool_` and the name are guarded by the mutex of the
/// dispatcher.
struct UpstreamState {
  explicit UpstreamState(const Upstream& upstream)
      : upstream_(upstream), pool_(upstream.address_, upstream.port_) {}

  Upstream upstream_;
  ConnectionPool pool_;
  bool open_ = true;
  std::string service_;
  std::string pool_name_;
  std::set<uint64_t> tokens_;  ///< Slots in use.
  UpstreamHealth health_;
  LatencyWindow latencies_;
  std::optional<std::vector<Snapshot>> offers_;
  std::optional<int> cold_limit_;
  std::string process_id_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_UPSTREAM_STATE_H_
