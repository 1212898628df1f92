#ifndef CLEMENTINERILL_TRAFFIC_START_QUERY_H_
#define CLEMENTINERILL_TRAFFIC_START_QUERY_H_

#include <optional>
#include <string>
#include <string_view>

#include "organisations/access.h"
#include "traffic/query.h"

namespace clementinerill::traffic {

/// @brief How a query reached this daemon.
struct QueryOrigin {
  /// Time since the daemon that the caller is connected to received it.
  Duration elapsed_{};
  bool is_forwarded_ = false;  ///< See `Query`.
  bool is_repeat_ = false;     ///< See `QueryPart`.
  /// The parts to gather; unset for all parts of the route.
  std::optional<PartSubset> subset_ = std::nullopt;
  /// Empty if the query needs none.
  organisations::Credential credential_ = {};
};

/// @brief Creates a query on `route`, which belongs to the current view.
///
/// `caller_timeout` is how long the caller still waits. Parts whose service is
/// unknown are marked as failed. The parts of a subset must belong to the
/// route. The first call of `Advance` returns the first attempts.
[[nodiscard]] Query StartQuery(FleetState& fleet,
                               const RouteRule& route,
                               std::string id,
                               Duration caller_timeout,
                               Instant now,
                               const QueryOrigin& origin = {});

/// @brief The priority of a request: that of its organisation, or of its route
/// if it has none.
[[nodiscard]] int PriorityOf(const TrafficConfiguration& configuration,
                             const RouteRule& route,
                             std::string_view organisation);

/// @brief Returns the time between an attempt of a part and its hedge.
[[nodiscard]] Duration HedgeDelay(const FleetState& fleet,
                                  const RouteRule& route);

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_START_QUERY_H_
