#include "traffic/start_query.h"

#include <algorithm>
#include <utility>

namespace clementinerill::traffic {
namespace {

using std::chrono::milliseconds;

// A part is hedged after this multiple of the 90th percentile of its route,
// which a healthy part rarely exceeds and a pausing replica always does.
constexpr double kHedgeFactor = 1.8;
// Bounds of the hedge delay: scheduling noise below, and above the share of
// the objective that leaves a second attempt time to answer.
constexpr Duration kLeastHedgeDelay = milliseconds(4);
constexpr double kMostHedgeDelayOfObjective = 0.45;
// An incomplete sweep is answered this long before its objective: the way to
// the caller and back, a new connection, and the turn of the processor.
constexpr Duration kAnswerMargin = milliseconds(7);
constexpr double kAnswerMarginOfObjective = 0.05;

std::shared_ptr<ServiceState> ChooseDestination(FleetState& fleet,
                                                const RouteRule& route) {
  if (route.destinations_.empty()) {
    return nullptr;
  }
  // Smooth weighted round robin: each destination gains its weight, and the
  // one that is owed most pays for the request.
  auto& owed = fleet.routes_[route.name_].owed_;
  double total = 0;
  const WeightedService* best = nullptr;
  for (const WeightedService& destination : route.destinations_) {
    total += destination.weight_;
    owed[destination.service_] += destination.weight_;
    if (!best || owed[destination.service_] > owed[best->service_]) {
      best = &destination;
    }
  }
  owed[best->service_] -= total;
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

Duration AnswerMargin(const RouteRule& route) {
  return kAnswerMargin + Scale(route.objective_, kAnswerMarginOfObjective);
}

}  // namespace

Duration HedgeDelay(const FleetState& fleet, const RouteRule& route) {
  const Duration most = Scale(route.objective_, kMostHedgeDelayOfObjective);
  const Duration usual = Scale(RouteLatency(fleet, route).P90(), kHedgeFactor);
  return std::max(kLeastHedgeDelay, std::min(usual, most));
}

Query StartQuery(FleetState& fleet,
                 const RouteRule& route,
                 std::string id,
                 Duration patience,
                 Instant now) {
  Query query;
  query.id_ = std::move(id);
  query.view_ = fleet.view_;
  query.route_ = &route;
  query.started_ = now;
  query.deadline_ = now + std::min(patience, route.timeout_);
  query.answer_by_ = now + route.objective_ - AnswerMargin(route);
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
