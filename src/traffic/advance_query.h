#ifndef CLEMENTINERILL_TRAFFIC_ADVANCE_QUERY_H_
#define CLEMENTINERILL_TRAFFIC_ADVANCE_QUERY_H_

#include <string>
#include <vector>

#include "traffic/query.h"

namespace clementinerill::traffic {

/// @brief Takes the outcome of an attempt; a repeated outcome is ignored.
///
/// `answer` is used for `kAnswered` and `kFailed`.
void RecordAttemptOutcome(FleetState& fleet,
                          Query& query,
                          SendAction attempt,
                          AttemptOutcome outcome,
                          ReplicaResponse answer,
                          Instant now);

/// @brief Decides what to do next: attempts to send, and the outcome when the
/// query can be answered or has to be given up.
///
/// Sets `outcome_` and `wake_at_`.
[[nodiscard]] std::vector<SendAction> Advance(FleetState& fleet,
                                              Query& query,
                                              Instant now);

/// @brief The time that an attempt of the query may take at a replica.
[[nodiscard]] Duration RemainingTime(const Query& query, Instant now);

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_ADVANCE_QUERY_H_
