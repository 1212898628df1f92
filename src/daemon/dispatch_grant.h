#ifndef CLEMENTINERILL_DAEMON_DISPATCH_GRANT_H_
#define CLEMENTINERILL_DAEMON_DISPATCH_GRANT_H_

#include <cstdint>
#include <memory>

#include "base/time.h"
#include "daemon/upstream_state.h"

namespace clementinerill {

/// @brief Permission to run one request at one upstream.
struct DispatchGrant {
  std::shared_ptr<UpstreamState> upstream_;
  uint64_t token_ = 0;
  /// The request must be sent before this time; afterwards another daemon may
  /// hold the seat.
  Instant fence_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_DISPATCH_GRANT_H_
