#ifndef CLEMENTINERILL_ROUTING_UPSTREAM_CANDIDATE_H_
#define CLEMENTINERILL_ROUTING_UPSTREAM_CANDIDATE_H_

#include <optional>
#include <vector>

#include "base/time.h"
#include "sweep/snapshot.h"

namespace clementinerill {

/// @brief One upstream as seen by the choice for one attempt.
struct UpstreamCandidate {
  bool open_ = true;
  bool tried_ = false;  ///< An earlier attempt of the same part used it.
  int limit_ = 0;       ///< Requests that this daemon may run there now.
  int in_use_ = 0;
  Instant skip_until_;
  Duration expected_latency_{0};
  /// Snapshots that it offers; absent before its first answer.
  std::optional<std::vector<Snapshot>> offers_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROUTING_UPSTREAM_CANDIDATE_H_
