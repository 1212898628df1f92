#ifndef CLEMENTINERILL_ROUTING_FORWARD_DECLARATIONS_H_
#define CLEMENTINERILL_ROUTING_FORWARD_DECLARATIONS_H_

namespace clementinerill {

struct Candidate;
struct LatencyWindow;
struct RoutingPool;
struct RoutingRestrictions;
struct RoutingService;
struct RoutingTable;
struct RoutingTarget;
struct UpstreamHealth;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROUTING_FORWARD_DECLARATIONS_H_
