#ifndef CLEMENTINERILL_TRAFFIC_RECORD_ATTEMPT_OUTCOME_H_
#define CLEMENTINERILL_TRAFFIC_RECORD_ATTEMPT_OUTCOME_H_

#include "traffic/query.h"

namespace clementinerill::traffic {

/// @brief Records the outcome of an attempt; a repeated outcome is ignored.
///
/// `response` is only used for `kAnswered` and `kFailed`.
void RecordAttemptOutcome(FleetState& fleet,
                          Query& query,
                          SendAction attempt,
                          AttemptOutcome outcome,
                          ReplicaResponse response,
                          Instant now);

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_RECORD_ATTEMPT_OUTCOME_H_
