#ifndef CLEMENTINERILL_EXPLAIN_FORWARD_DECLARATIONS_H_
#define CLEMENTINERILL_EXPLAIN_FORWARD_DECLARATIONS_H_

namespace clementinerill {

class ExplainLog;
class ExplainRing;
struct ExplainLimits;
struct ExplainedAttempt;
struct ExplainedPart;
struct ExplainedQuery;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_EXPLAIN_FORWARD_DECLARATIONS_H_
