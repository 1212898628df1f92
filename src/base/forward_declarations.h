#ifndef CLEMENTINERILL_BASE_FORWARD_DECLARATIONS_H_
#define CLEMENTINERILL_BASE_FORWARD_DECLARATIONS_H_

namespace clementinerill {

struct CallerLimits;
struct Error;
struct SourcePosition;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_BASE_FORWARD_DECLARATIONS_H_
