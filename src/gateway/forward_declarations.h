#ifndef CLEMENTINERILL_GATEWAY_FORWARD_DECLARATIONS_H_
#define CLEMENTINERILL_GATEWAY_FORWARD_DECLARATIONS_H_

namespace clementinerill::gateway {

class AggregatorPool;
class ConnectionPool;
class ControlLoop;
class DutySession;
class ForwardSession;
class KindWatch;
class QuerySession;
class StoreCaller;
class TrafficServer;
class UnusableObjects;
struct GatewayMetrics;
struct GatewayOptions;
struct StoreCodec;
struct WireNames;

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_FORWARD_DECLARATIONS_H_
