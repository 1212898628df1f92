#ifndef CLEMENTINERILL_CONTROL_FORWARD_DECLARATIONS_H_
#define CLEMENTINERILL_CONTROL_FORWARD_DECLARATIONS_H_

namespace clementinerill {

struct Candidate;
struct Change;
struct ChangeProgress;
struct ConfigurationState;
struct ConfigurationStatus;
struct FetchPlan;
struct FleetStatus;
struct PeerVersion;
struct RolledBackChange;
struct StoreAccessState;
struct VersionReport;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONTROL_FORWARD_DECLARATIONS_H_
