#ifndef CLEMENTINERILL_TRAFFIC_CONFIRM_SEND_H_
#define CLEMENTINERILL_TRAFFIC_CONFIRM_SEND_H_

#include "traffic/query.h"

namespace clementinerill::traffic {

/// @brief Decides again whether an attempt may be sent, once its connection is
/// established.
///
/// That may be long after its replica was chosen. Returns false if the query
/// has ended, or if its replica must not get the request any more; the attempt
/// then ends as `AttemptOutcome::kWithdrawn`. Otherwise the request counts for
/// the limits of the replica from `now` on.
[[nodiscard]] bool ConfirmSend(const FleetState& fleet,
                               const Query& query,
                               SendAction action,
                               Instant now);

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_CONFIRM_SEND_H_
