#ifndef CLEMENTINERILL_PLATFORM_FORWARD_DECLARATIONS_H_
#define CLEMENTINERILL_PLATFORM_FORWARD_DECLARATIONS_H_

namespace clementinerill {

class PlatformClient;
struct BackoffPolicy;
struct PlatformSettings;
struct ReadOutcome;
struct RetryBudget;
struct VersionedObject;
struct Vm;
struct WriteOutcome;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PLATFORM_FORWARD_DECLARATIONS_H_
