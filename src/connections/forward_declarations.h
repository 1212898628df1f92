#ifndef CLEMENTINERILL_CONNECTIONS_FORWARD_DECLARATIONS_H_
#define CLEMENTINERILL_CONNECTIONS_FORWARD_DECLARATIONS_H_

namespace clementinerill {

struct ConnectionPolicy;
struct ConnectionRecord;
struct ReplicaConnections;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONNECTIONS_FORWARD_DECLARATIONS_H_
