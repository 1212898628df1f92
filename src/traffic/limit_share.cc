#include "traffic/limit_share.h"

#include <algorithm>

namespace clementinerill::traffic {
namespace {

// Shares of all aggregators and of all other daemons. The rest is a reserve
// for the time in which daemons see different plans.
constexpr double kAggregatorShare = 0.7;
constexpr double kDirectShare = 0.2;

}  // namespace

double LimitShare(const FleetState& fleet,
                  const ServiceState& service) noexcept {
  const int daemons = CountDaemons(*fleet.view_);
  const AggregationPlan& plan = fleet.aggregation_;
  if (!service.is_aggregated_ || plan.aggregator_count_ <= 0) {
    return 1.0 / daemons;
  }
  return plan.is_aggregator_
             ? kAggregatorShare / plan.aggregator_count_
             : kDirectShare / std::max(daemons - plan.aggregator_count_, 1);
}

}  // namespace clementinerill::traffic
