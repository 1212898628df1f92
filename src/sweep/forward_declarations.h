#ifndef CLEMENTINERILL_SWEEP_FORWARD_DECLARATIONS_H_
#define CLEMENTINERILL_SWEEP_FORWARD_DECLARATIONS_H_

namespace clementinerill {

class Coverage;
struct Attempt;
struct Hit;
struct KeyRange;
struct Part;
struct PartAnswer;
struct QueryAction;
struct QueryAnswer;
struct QueryPolicy;
struct QueryState;
struct Snapshot;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SWEEP_FORWARD_DECLARATIONS_H_
