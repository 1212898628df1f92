#ifndef CLEMENTINERILL_TRAFFIC_SKIP_OVERLOADED_PARTS_H_
#define CLEMENTINERILL_TRAFFIC_SKIP_OVERLOADED_PARTS_H_

#include <vector>

#include "traffic/query.h"

namespace clementinerill::traffic {

/// @brief Skips parts of a sweep that are not expected in time, the slowest
/// first, as far as the least coverage of the route allows.
///
/// Where several shards are overloaded each sweep leaves out another one, which
/// takes load off all of them: an answer without one shard in time is worth
/// more than a complete one that is late. `choices` holds the choice for the
/// first attempt of each part; parts without a replica are left as they are.
void SkipOverloadedParts(Query& query,
                         const std::vector<ReplicaChoice>& choices,
                         Instant now);

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_SKIP_OVERLOADED_PARTS_H_
