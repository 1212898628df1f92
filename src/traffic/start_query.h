#ifndef CLEMENTINERILL_TRAFFIC_START_QUERY_H_
#define CLEMENTINERILL_TRAFFIC_START_QUERY_H_

#include <string>

#include "traffic/query.h"

namespace clementinerill::traffic {

/// @brief Creates a query on `route`, which belongs to the current view.
///
/// `caller_timeout` is how long the caller waits. Parts whose service is
/// unknown are marked as failed. The first call of `Advance` returns the first
/// attempts.
[[nodiscard]] Query StartQuery(FleetState& fleet,
                               const RouteRule& route,
                               std::string id,
                               Duration caller_timeout,
                               Instant now);

/// @brief Returns the time between an attempt of a part and its hedge.
[[nodiscard]] Duration HedgeDelay(const FleetState& fleet,
                                  const RouteRule& route);

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_START_QUERY_H_
