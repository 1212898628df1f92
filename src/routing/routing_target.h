#ifndef CLEMENTINERILL_ROUTING_ROUTING_TARGET_H_
#define CLEMENTINERILL_ROUTING_ROUTING_TARGET_H_

#include "config/upstream.h"

namespace clementinerill {

/// @brief One upstream with what this daemon may send to it.
struct RoutingTarget {
  Upstream upstream_;
  int slots_ = 0;        ///< Share of the slots of the replica.
  int connections_ = 0;  ///< Share of the connections of the replica.
  bool open_ = true;     ///< False: no new work (taken out or leaving).
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROUTING_ROUTING_TARGET_H_
