#ifndef CLEMENTINERILL_WARMUP_FORWARD_DECLARATIONS_H_
#define CLEMENTINERILL_WARMUP_FORWARD_DECLARATIONS_H_

namespace clementinerill {

struct DispatchTicket;
struct DomainRamp;
struct LatencyTracker;
struct Ramp;
struct ReplicaLoad;
struct ReplicaWarmup;
struct ResponseSignals;
struct SharePlan;
struct WarmupCandidate;
struct WarmupLimits;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_WARMUP_FORWARD_DECLARATIONS_H_
