#ifndef CLEMENTINERILL_TRAFFIC_RECORD_REPORT_H_
#define CLEMENTINERILL_TRAFFIC_RECORD_REPORT_H_

#include "base/time.h"
#include "traffic/fleet_state.h"
#include "traffic/replica_report.h"

namespace clementinerill::traffic {

/// @brief Records what a replica reported with a response.
///
/// Of a rate limit this daemon may use an equal share, so that all daemons
/// together stay within it without messages between them. The limit ends with a
/// response that names none. Of several pauses the one that ends last counts: a
/// shorter one may answer a request that was sent earlier.
void RecordReport(const FleetState& fleet,
                  ReplicaState& replica,
                  const ReplicaReport& report,
                  Instant now);

/// @brief Records that the replica reported its departure, which is final for
/// its process. Returns whether it is the first such report.
bool RecordReportedDeparture(FleetState& fleet,
                             ReplicaState& replica,
                             Instant now);

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_RECORD_REPORT_H_
