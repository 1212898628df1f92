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

void AddPart(Query& query,
             std::shared_ptr<ServiceState> service,
             bool is_repeat) {
  QueryPart part;
  part.is_repeat_ = is_repeat;
  if (!service) {
    part.state_ = PartState::kFailed;
    part.failure_reason_ = PartFailureReason::kUnknownService;
  }
  part.service_ = std::move(service);
  query.parts_.push_back(std::move(part));
}

void AddParts(FleetState& fleet, Query& query, const QueryOrigin& origin) {
  const RouteRule& route = *query.route_;
  if (!IsFanOut(route)) {
    AddPart(query, ChooseDestination(fleet, route), origin.is_repeat_);
    return;
  }
  if (origin.subset_) {
    for (const size_t part : origin.subset_->parts_) {
      AddPart(query, FindService(fleet, route.shards_[part]), false);
    }
    return;
  }
  for (const std::string& shard : route.shards_) {
    AddPart(query, FindService(fleet, shard), origin.is_repeat_);
  }
}

// The daemon that sends a part to its first replica counts the request, by
// which additional attempts are limited.
void RecordRequests(Query& query, Instant now) {
  for (QueryPart& part : query.parts_) {
    if (part.service_ && !part.is_delegated_ && !part.is_repeat_) {
      part.service_->extra_attempt_budget_.RecordRequest(now);
    }
  }
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

int PriorityOf(const TrafficConfiguration& configuration,
               const RouteRule& route,
               std::string_view organisation) {
  if (organisation.empty() || !configuration.organisations_) {
    return route.priority_;
  }
  const auto* owner =
      organisations::FindByName(*configuration.organisations_, organisation);
  return owner ? owner->priority_ : route.priority_;
}

Query StartQuery(FleetState& fleet,
                 const RouteRule& route,
                 std::string id,
                 Duration caller_timeout,
                 Instant now,
                 const QueryOrigin& origin) {
  Query query;
  query.subset_ = origin.subset_;
  query.is_forwarded_ = origin.is_forwarded_;
  query.id_ = std::move(id);
  query.organisation_ = origin.credential_.organisation_;
  query.key_ = origin.credential_.key_;
  query.priority_ =
      PriorityOf(*fleet.view_->configuration_, route, query.organisation_);
  query.view_ = fleet.view_;
  query.route_ = &route;
  query.started_ = now - origin.elapsed_;
  query.deadline_ = now + std::min(caller_timeout, route.timeout_);
  query.partial_response_at_ =
      query.started_ + route.objective_ - PartialResponseMargin(route);
  query.hedge_delay_ = HedgeDelay(fleet, route);
  AddParts(fleet, query, origin);
  DelegateParts(fleet, query, now);
  RecordRequests(query, now);
  return query;
}

}  // namespace clementinerill::traffic
