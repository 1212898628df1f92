#ifndef CLEMENTINERILL_MIRROR_FORWARD_DECLARATIONS_H_
#define CLEMENTINERILL_MIRROR_FORWARD_DECLARATIONS_H_

namespace clementinerill::mirror {

struct DaemonLiveness;
struct DaemonRecord;
struct KindChanges;
struct KindMirror;
struct RelayReply;
struct RelayRequest;
struct RolloutEvidence;
struct StoredObject;

}  // namespace clementinerill::mirror

#endif  // CLEMENTINERILL_MIRROR_FORWARD_DECLARATIONS_H_
