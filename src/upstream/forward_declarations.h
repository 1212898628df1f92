#ifndef CLEMENTINERILL_UPSTREAM_FORWARD_DECLARATIONS_H_
#define CLEMENTINERILL_UPSTREAM_FORWARD_DECLARATIONS_H_

namespace clementinerill {

class ConnectionPool;
class TaskPool;
class UpstreamSession;
struct ExchangeRequest;
struct ExchangeResult;
struct LeasedConnection;
struct UpstreamSignals;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_UPSTREAM_FORWARD_DECLARATIONS_H_
