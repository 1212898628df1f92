#ifndef CLEMENTINERILL_ROUTING_ROUTING_TARGET_H_
#define CLEMENTINERILL_ROUTING_ROUTING_TARGET_H_

#include "config/upstream.h"

namespace clementinerill {

/// @brief An upstream and whether it accepts new requests.
struct RoutingTarget {
  Upstream upstream_;
  bool open_ = true;  ///< False if its failure domain is out or it is leaving.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROUTING_ROUTING_TARGET_H_
