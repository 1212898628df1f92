#ifndef CLEMENTINERILL_TRAFFIC_ADVANCE_QUERY_H_
#define CLEMENTINERILL_TRAFFIC_ADVANCE_QUERY_H_

#include <vector>

#include "traffic/query.h"

namespace clementinerill::traffic {

/// @brief Advances the state of the query and returns the attempts to send.
///
/// Sets `outcome_` once the query can be answered or cannot succeed any more,
/// and `wake_at_` to the time of the next call at the latest. Once
/// `access_refusal_` is set, no attempts are returned.
[[nodiscard]] std::vector<SendAction> Advance(FleetState& fleet,
                                              Query& query,
                                              Instant now);

/// @brief Whether the query has to be answered now, so that the response
/// reaches the caller before its deadline.
[[nodiscard]] bool IsDue(const Query& query, Instant now);

/// @brief Returns the time until the deadline of the query, or zero after it.
[[nodiscard]] Duration RemainingTime(const Query& query, Instant now);

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_ADVANCE_QUERY_H_
