#ifndef CLEMENTINERILL_ORGANISATIONS_FORWARD_DECLARATIONS_H_
#define CLEMENTINERILL_ORGANISATIONS_FORWARD_DECLARATIONS_H_

namespace clementinerill::organisations {

struct Access;
struct Credential;
struct Directory;
struct KeyDigest;
struct Organisation;
struct PresentedKeys;
struct ViewAge;
struct ViewProof;

}  // namespace clementinerill::organisations

#endif  // CLEMENTINERILL_ORGANISATIONS_FORWARD_DECLARATIONS_H_
