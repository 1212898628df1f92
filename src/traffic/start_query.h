#ifndef CLEMENTINERILL_TRAFFIC_START_QUERY_H_
#define CLEMENTINERILL_TRAFFIC_START_QUERY_H_

#include <string>

#include "traffic/query.h"

namespace clementinerill::traffic {

/// @brief Begins a query on `route` of the fleet's present view.
///
/// `patience` is how long the caller waits. Parts without a service have
/// failed already. `Advance` sends the first attempts.
[[nodiscard]] Query StartQuery(FleetState& fleet,
                               const RouteRule& route,
                               std::string id,
                               Duration patience,
                               Instant now);

/// @brief How long a part waits for its first attempt before a second one.
[[nodiscard]] Duration HedgeDelay(const FleetState& fleet,
                                  const RouteRule& route);

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_START_QUERY_H_
