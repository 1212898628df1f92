#ifndef CLEMENTINERILL_SWEEP_QUERY_STATE_H_
#define CLEMENTINERILL_SWEEP_QUERY_STATE_H_

#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "config/route_kind.h"
#include "sweep/part.h"
#include "sweep/snapshot.h"

namespace clementinerill {

/// @brief Everything decided and received for one query so far.
///
/// Change it only through the functions of query_step.h.
struct QueryState {
  std::string request_id_;
  RouteKind kind_ = RouteKind::kSweep;
  std::optional<Snapshot> snapshot_;  ///< Pinned for routes that fan out.
  std::vector<Part> parts_;
  Instant started_;
  Instant deadline_;
  size_t top_ = 10;
  int restarts_ = 0;
  bool restart_refused_ = false;  ///< No other snapshot to restart with.
  bool may_have_run_ = false;     ///< Carried over restarts.
  bool cancelled_ = false;        ///< The caller has gone away.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SWEEP_QUERY_STATE_H_
