#ifndef CLEMENTINERILL_DAEMON_DISPATCH_GRANT_H_
#define CLEMENTINERILL_DAEMON_DISPATCH_GRANT_H_

#include <cstdint>
#include <memory>

#include "base/time.h"
#include "daemon/upstream_state.h"

namespace clementinerill {

/// @brief The right to run one request at one upstream.
struct DispatchGrant {
  std::shared_ptr<UpstreamState> upstream_;
  uint64_t token_ = 0;
  /// The request must have left before this time: the seat may move then.
  Instant fence_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_DISPATCH_GRANT_H_
