#ifndef CLEMENTINERILL_ORGANISATIONS_FORWARD_DECLARATIONS_H_
#define CLEMENTINERILL_ORGANISATIONS_FORWARD_DECLARATIONS_H_

namespace clementinerill::organisations {

struct ViewProof;

}  // namespace clementinerill::organisations

#endif  // CLEMENTINERILL_ORGANISATIONS_FORWARD_DECLARATIONS_H_
