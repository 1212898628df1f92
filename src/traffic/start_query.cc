#include "traffic/start_query.h"

#include <algorithm>
#include <utility>

namespace clementinerill::traffic {
namespace {

using std::chrono::milliseconds;

// Hedge delay as a multiple of the 90th percentile of the route, which healthy
// attempts rarely exceed and attempts at a paused replica always do.
constexpr double kHedgeFactor = 1.8;
// Bounds of the hedge delay. The minimum exceeds scheduling noise; the maximum,
// a share of the objective, leaves the hedge time to complete.
constexpr Duration kMinHedgeDelay = milliseconds(4);
constexpr double kMaxHedgeDelayShareOfObjective = 0.45;
// An incomplete fan-out query returns this long before its objective, which
// covers the round trip to the caller, a new connection and scheduling delay.
constexpr Duration kPartialResponseMargin = milliseconds(7);
constexpr double kPartialResponseMarginShareOfObjective = 0.05;

std::shared_ptr<ServiceState> ChooseDestination(FleetState& fleet,
                                                const RouteRule& route) {
  if (route.destinations_.empty()) {
    return nullptr;
  }
  // Smooth weighted round robin: each request adds the weight of every
  // destination to its current weight, and the greatest current weight wins and
  // is reduced by the total.
  auto& weights = fleet.routes_[route.name_].current_weights_;
  double total = 0;
  const WeightedService* best = nullptr;
  for (const WeightedService& destination : route.destinations_) {
    total += destination.weight_;
    weights[destination.service_] += destination.weight_;
    if (!best || weights[destination.service_] > weights[best->service_]) {
      best = &destination;
    }
  }
  weights[best->service_] -= total;
  return FindService(fleet, best->service_);
}

void AddPart(Query& query, std::shared_ptr<ServiceState> service, Instant now) {
  QueryPart part;
  if (service) {
    service->extra_attempt_budget_.RecordRequest(now);
  } else {
    part.state_ = PartState::kFailed;
    part.failure_reason_ = PartFailureReason::kUnknownService;
  }
  part.service_ = std::move(service);
  query.parts_.push_back(std::move(part));
}

Duration PartialResponseMargin(const RouteRule& route) {
  return kPartialResponseMargin +
         Scale(route.objective_, kPartialResponseMarginShareOfObjective);
}

}  // namespace

Duration HedgeDelay(const FleetState& fleet, const RouteRule& route) {
  const Duration max_delay =
      Scale(route.objective_, kMaxHedgeDelayShareOfObjective);
  const Duration latency_based =
      Scale(RouteLatency(fleet, route).P90(), kHedgeFactor);
  return std::max(kMinHedgeDelay, std::min(latency_based, max_delay));
}

Query StartQuery(FleetState& fleet,
                 const RouteRule& route,
                 std::string id,
                 Duration caller_timeout,
                 Instant now) {
  Query query;
  query.id_ = std::move(id);
  query.view_ = fleet.view_;
  query.route_ = &route;
  query.started_ = now;
  query.deadline_ = now + std::min(caller_timeout, route.timeout_);
  query.partial_response_at_ =
      now + route.objective_ - PartialResponseMargin(route);
  query.hedge_delay_ = HedgeDelay(fleet, route);
  if (IsFanOut(route)) {
    for (const std::string& shard : route.shards_) {
      AddPart(query, FindService(fleet, shard), now);
    }
  } else {
    AddPart(query, ChooseDestination(fleet, route), now);
  }
  return query;
}

}  // namespace clementinerill::traffic
