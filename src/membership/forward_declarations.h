#ifndef CLEMENTINERILL_MEMBERSHIP_FORWARD_DECLARATIONS_H_
#define CLEMENTINERILL_MEMBERSHIP_FORWARD_DECLARATIONS_H_

namespace clementinerill {

struct Advisory;
struct AdvisoryMap;
struct GroupPool;
struct GroupState;
struct Heartbeat;
struct Member;
struct PeerRecord;
struct PreviousGroup;
struct Roster;
struct SeatPermit;
struct SeatRecord;
struct SelfStatus;
struct WitnessGroup;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_MEMBERSHIP_FORWARD_DECLARATIONS_H_
