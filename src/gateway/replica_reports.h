#ifndef CLEMENTINERILL_GATEWAY_REPLICA_REPORTS_H_
#define CLEMENTINERILL_GATEWAY_REPLICA_REPORTS_H_

#include "gateway/session_context.h"
#include "http/client_connection.h"

namespace clementinerill::gateway {

/// @brief Records and logs what a replica reports in a response.
void RecordReplicaReport(SessionContext& context,
                         traffic::ReplicaState& replica,
                         const http::HttpResponse& response,
                         Instant now);

/// @brief Records and logs that a replica says in a response that it is
/// leaving; does nothing if it does not.
///
/// Also for responses that are not used otherwise: a departure is true whatever
/// becomes of the response that reports it.
void RecordReportedDeparture(SessionContext& context,
                             traffic::ReplicaState& replica,
                             const http::HttpResponse& response,
                             Instant now);

/// @brief Counts and logs a response that was cut off; does nothing if it was
/// not.
void RecordCutOff(SessionContext& context,
                  const traffic::ReplicaState& replica,
                  const http::ExchangeResult& result,
                  Instant now);

}  // namespace clementinerill::gateway

#endif  // CLEMENTINERILL_GATEWAY_REPLICA_REPORTS_H_
