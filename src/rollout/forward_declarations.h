#ifndef CLEMENTINERILL_ROLLOUT_FORWARD_DECLARATIONS_H_
#define CLEMENTINERILL_ROLLOUT_FORWARD_DECLARATIONS_H_

namespace clementinerill {

struct Interval;
struct JudgeTolerance;
struct PlannedStep;
struct RolloutPlan;
struct RolloutRequest;
struct RolloutState;
struct RouteCounts;
struct RouteTraffic;
struct StepShape;
struct Verdict;
struct VersionCounts;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROLLOUT_FORWARD_DECLARATIONS_H_
