#ifndef CLEMENTINERILL_DAEMON_OPERATOR_LOG_H_
#define CLEMENTINERILL_DAEMON_OPERATOR_LOG_H_

#include <cstdint>
#include <string>

#include "base/time.h"
#include "routing/routing_table.h"
#include "sweep/query_answer.h"

namespace clementinerill {

/// @brief Logs `configuration: in force`.
void LogConfigurationInForce(const RoutingTable& table);

/// @brief Logs `upstream: process changed`: the upstream was restarted or
/// replaced.
void LogProcessChanged(const std::string& upstream, const std::string& process);

/// @brief Logs `upstream: silent connections condemned`; rate-limited.
void LogConnectionsCondemned(Instant now,
                             const std::string& upstream,
                             int connections);

/// @brief Logs `query: refused`; rate-limited.
void LogRefusal(Instant now,
                const std::string& route,
                const QueryAnswer& answer);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_OPERATOR_LOG_H_
