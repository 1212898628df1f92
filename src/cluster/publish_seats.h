#ifndef CLEMENTINERILL_CLUSTER_PUBLISH_SEATS_H_
#define CLEMENTINERILL_CLUSTER_PUBLISH_SEATS_H_

#include <vector>

#include "base/time.h"
#include "membership/group_state.h"
#include "routing/pool_seats.h"

namespace clementinerill {

/// @brief Builds the snapshot of the seats of all groups for traffic threads.
///
/// @param previous The last snapshot. A seat that this daemon no longer holds
/// stays usable for running queries until its last permit expires.
[[nodiscard]] PublishedSeats PublishSeats(const std::vector<GroupState>& groups,
                                          const PublishedSeats& previous,
                                          Instant now);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLUSTER_PUBLISH_SEATS_H_
