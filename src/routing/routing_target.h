#ifndef CLEMENTINERILL_ROUTING_ROUTING_TARGET_H_
#define CLEMENTINERILL_ROUTING_ROUTING_TARGET_H_

#include "config/upstream.h"

namespace clementinerill {

/// @brief One upstream and whether it receives new work.
struct RoutingTarget {
  Upstream upstream_;
  bool open_ = true;  ///< False: no new work (taken out or leaving).
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROUTING_ROUTING_TARGET_H_
