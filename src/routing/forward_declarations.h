#ifndef CLEMENTINERILL_ROUTING_FORWARD_DECLARATIONS_H_
#define CLEMENTINERILL_ROUTING_FORWARD_DECLARATIONS_H_

namespace clementinerill {

struct UpstreamCandidate;
struct LatencyWindow;
struct PoolSeats;
struct PublishedSeats;
struct RoutingPool;
struct RoutingRestrictions;
struct RoutingService;
struct RoutingTable;
struct RoutingTarget;
struct UpstreamHealth;
struct UsableSeat;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROUTING_FORWARD_DECLARATIONS_H_
