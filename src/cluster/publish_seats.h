#ifndef CLEMENTINERILL_CLUSTER_PUBLISH_SEATS_H_
#define CLEMENTINERILL_CLUSTER_PUBLISH_SEATS_H_

#include <vector>

#include "base/time.h"
#include "membership/group_state.h"
#include "routing/pool_seats.h"

namespace clementinerill {

/// @brief The seats of all groups as traffic threads need them.
///
/// @param previous A seat that this daemon holds no longer stays usable for
/// running queries until its last permit ends.
[[nodiscard]] PublishedSeats PublishSeats(const std::vector<GroupState>& groups,
                                          const PublishedSeats& previous,
                                          Instant now);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLUSTER_PUBLISH_SEATS_H_
