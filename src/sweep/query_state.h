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

/// @brief State of one query: its parts, attempts and the answers so far.
///
/// Modify it only through the functions of query_step.h.
struct QueryState {
  std::string request_id_;
  RouteKind kind_ = RouteKind::kSweep;
  std::optional<Snapshot> snapshot_;  ///< Pinned for fan-out routes.
  std::vector<Part> parts_;
  Instant started_;
  Instant deadline_;
  size_t top_ = 10;
  int restarts_ = 0;
  bool restart_refused_ = false;  ///< No other snapshot is available.
  bool may_have_run_ = false;     ///< Kept across restarts.
  bool cancelled_ = false;        ///< The caller has disconnected.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SWEEP_QUERY_STATE_H_
