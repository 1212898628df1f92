#ifndef CLEMENTINERILL_LIMITS_FORWARD_DECLARATIONS_H_
#define CLEMENTINERILL_LIMITS_FORWARD_DECLARATIONS_H_

namespace clementinerill {

enum class QueryCompletion;
enum class RefusalReason;
enum class SlotOutcome;
struct AdaptiveLimit;
struct AdmissionQueue;
struct AttemptBudget;
struct DequeueResult;
struct GoodputInterval;
struct LatencyTrend;
struct QueryGate;
struct QueueEntry;
struct RefusedEntry;
struct ServiceInterval;
struct SlotGrant;
struct SlotLimiter;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LIMITS_FORWARD_DECLARATIONS_H_
