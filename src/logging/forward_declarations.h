#ifndef CLEMENTINERILL_LOGGING_FORWARD_DECLARATIONS_H_
#define CLEMENTINERILL_LOGGING_FORWARD_DECLARATIONS_H_

namespace clementinerill {

struct LogField;
struct LogRateLimit;
struct LogRateState;
struct LogRateDecision;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LOGGING_FORWARD_DECLARATIONS_H_
