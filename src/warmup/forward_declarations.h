#ifndef CLEMENTINERILL_WARMUP_FORWARD_DECLARATIONS_H_
#define CLEMENTINERILL_WARMUP_FORWARD_DECLARATIONS_H_

namespace clementinerill {

struct AnswerSignals;
struct DispatchTicket;
struct DomainRamp;
struct LatencyTrack;
struct Ramp;
struct ReplicaLoad;
struct ReplicaWarmup;
struct SharePlan;
struct WarmupCandidate;
struct WarmupLimits;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_WARMUP_FORWARD_DECLARATIONS_H_
