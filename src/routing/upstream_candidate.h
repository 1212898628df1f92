#ifndef CLEMENTINERILL_ROUTING_UPSTREAM_CANDIDATE_H_
#define CLEMENTINERILL_ROUTING_UPSTREAM_CANDIDATE_H_

#include <optional>
#include <vector>

#include "base/time.h"
#include "sweep/snapshot.h"

namespace clementinerill {

/// @brief State of one upstream that `ChooseCandidate` considers for an
/// attempt.
struct UpstreamCandidate {
  bool open_ = true;
  bool tried_ = false;  ///< An earlier attempt of the same part used it.
  int limit_ = 0;       ///< Current limit on this daemon's requests there.
  int in_use_ = 0;
  Instant skip_until_;
  Duration expected_latency_{0};
  /// Snapshots that the upstream offers; absent before its first response.
  std::optional<std::vector<Snapshot>> offers_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROUTING_UPSTREAM_CANDIDATE_H_
