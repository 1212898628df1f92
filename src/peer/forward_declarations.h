#ifndef CLEMENTINERILL_PEER_FORWARD_DECLARATIONS_H_
#define CLEMENTINERILL_PEER_FORWARD_DECLARATIONS_H_

namespace clementinerill {

class PeerMesh;
struct Advisories;
struct ConfigDocument;
struct ConfigRequest;
struct Forward;
struct ForwardAnswer;
struct ForwardCancel;
struct Hello;
struct PeerCallbacks;
struct PeerMeshOptions;
struct Report;
struct ReportEntry;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_PEER_FORWARD_DECLARATIONS_H_
