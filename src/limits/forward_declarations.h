#ifndef CLEMENTINERILL_LIMITS_FORWARD_DECLARATIONS_H_
#define CLEMENTINERILL_LIMITS_FORWARD_DECLARATIONS_H_

namespace clementinerill {

enum class RefusalReason;
enum class SlotOutcome;
struct AdaptiveLimit;
struct AttemptBudget;
struct LatencyWindow;
struct SlotGrant;
struct SlotLimiter;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LIMITS_FORWARD_DECLARATIONS_H_
