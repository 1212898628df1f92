#ifndef CLEMENTINERILL_ADMIN_FORWARD_DECLARATIONS_H_
#define CLEMENTINERILL_ADMIN_FORWARD_DECLARATIONS_H_

namespace clementinerill {

struct ChangeOutcome;
struct Operation;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ADMIN_FORWARD_DECLARATIONS_H_
