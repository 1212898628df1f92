#ifndef CLEMENTINERILL_TRAFFIC_FORWARD_DECLARATIONS_H_
#define CLEMENTINERILL_TRAFFIC_FORWARD_DECLARATIONS_H_

namespace clementinerill::traffic {

class ExtraAttemptBudget;
class LatencyEstimate;
struct AggregationInput;
struct AggregationPlan;
struct Aggregator;
struct AggregatorHealth;
struct Attempt;
struct ColdShareCache;
struct Departures;
struct FleetComparison;
struct FleetState;
struct Query;
struct QueryPart;
struct RateAllowance;
struct ReplicaDirectory;
struct ReplicaEntry;
struct ReplicaReport;
struct ReplicaState;
struct RouteRule;
struct ServiceRule;
struct RolloutOrder;
struct ServiceState;
struct TrafficConfiguration;
struct TrafficView;
struct VersionComparison;
struct WeightedService;

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_FORWARD_DECLARATIONS_H_
