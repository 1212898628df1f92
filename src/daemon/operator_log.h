#ifndef CLEMENTINERILL_DAEMON_OPERATOR_LOG_H_
#define CLEMENTINERILL_DAEMON_OPERATOR_LOG_H_

#include <cstdint>
#include <string>

#include "base/time.h"
#include "routing/routing_table.h"
#include "sweep/query_answer.h"

namespace clementinerill {

/// @brief `configuration: in force`.
void LogConfigurationInForce(const RoutingTable& table);

/// @brief `upstream: process changed`: a restart or a replacement.
void LogProcessChanged(const std::string& upstream, const std::string& process);

/// @brief `upstream: silent connections condemned`, within a rate limit.
void LogConnectionsCondemned(Instant now,
                             const std::string& upstream,
                             int connections);

/// @brief `query: refused`, within a rate limit.
void LogRefusal(Instant now,
                const std::string& route,
                const QueryAnswer& answer);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_OPERATOR_LOG_H_
