#ifndef CLEMENTINERILL_LOGGING_FORWARD_DECLARATIONS_H_
#define CLEMENTINERILL_LOGGING_FORWARD_DECLARATIONS_H_

namespace clementinerill {

struct LogField;
struct LogRateLimit;
struct LogRateState;
struct LogRateVerdict;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LOGGING_FORWARD_DECLARATIONS_H_
