#ifndef CLEMENTINERILL_DAEMON_FORWARD_DECLARATIONS_H_
#define CLEMENTINERILL_DAEMON_FORWARD_DECLARATIONS_H_

namespace clementinerill {

class AttemptRunner;
class BlockingServer;
class CallerServer;
class Daemon;
class Dispatcher;
class Mailbox;
class QueryEngine;
struct BlockingServerOptions;
struct ColdMark;
struct DaemonOptions;
struct DispatchGrant;
struct HeldSlot;
struct QueryInput;
struct QueryRequest;
struct UpstreamState;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_FORWARD_DECLARATIONS_H_
