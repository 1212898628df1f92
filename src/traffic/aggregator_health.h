#ifndef CLEMENTINERILL_TRAFFIC_AGGREGATOR_HEALTH_H_
#define CLEMENTINERILL_TRAFFIC_AGGREGATOR_HEALTH_H_

#include "base/time.h"
#include "traffic/forward_outcome.h"
#include "traffic/route_rule.h"

namespace clementinerill::traffic {

/// @brief What this daemon knows of one aggregator from forwarded queries.
struct AggregatorHealth {
  int failures_in_row_ = 0;
  Instant avoided_until_{};
};

/// @brief Records the outcome of a forwarded query.
void RecordForward(AggregatorHealth& health,
                   ForwardOutcome outcome,
                   Instant now);

/// @brief Whether a query may be forwarded to the aggregator.
[[nodiscard]] bool IsUsable(const AggregatorHealth& health,
                            Instant now) noexcept;

/// @brief Time within which an aggregator must confirm the start of a query.
/// After it the daemon gathers the query itself, with time to meet the
/// objective.
[[nodiscard]] Duration AcknowledgeTimeout(const RouteRule& route) noexcept;

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_AGGREGATOR_HEALTH_H_
