#ifndef CLEMENTINERILL_CONNECTIONS_CONNECTIONS_H_
#define CLEMENTINERILL_CONNECTIONS_CONNECTIONS_H_

// Includes the whole connections library.

#include "connections/connection_policy.h"
#include "connections/connection_record.h"
#include "connections/forward_declarations.h"
#include "connections/replica_connections.h"

#endif  // CLEMENTINERILL_CONNECTIONS_CONNECTIONS_H_
