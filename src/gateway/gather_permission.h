#ifndef CLEMENTINERILL_GATEWAY_GATHER_PERMISSION_H_
#define CLEMENTINERILL_GATEWAY_GATHER_PERMISSION_H_

#include <cstddef>

#include "gateway/forward_header.h"
#include "traffic/fleet_state.h"

namespace clementinerill::gateway {

/// @brief Whether this daemon can gather a query that another one forwards.
/// `parts_in_progress` are those that it gathers at present.
[[nodiscard]] bool MayGatherForOthers(const traffic::FleetState& fleet,
                                      const traffic::RouteRule& route,
                                      const ForwardHeader& header,
                                      size_t max_parts,
                                      size_t parts_in_progress);

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_GATHER_PERMISSION_H_
