#ifndef CLEMENTINERILL_TRAFFIC_SKIP_OVERLOADED_PARTS_H_
#define CLEMENTINERILL_TRAFFIC_SKIP_OVERLOADED_PARTS_H_

#include <vector>

#include "traffic/query.h"

namespace clementinerill::traffic {

/// @brief Skips parts of a fan-out query whose replicas are overloaded.
///
/// A part whose replicas have all reached the rate that they accept is always
/// skipped. Further ones are skipped as far as the minimum coverage allows:
/// those whose replicas get more requests than they accept, then those expected
/// to miss the time of the response, slowest first.
///
/// If several shards are overloaded, successive queries skip different ones,
/// which reduces the load of all: a timely response without one shard is worth
/// more than a complete one that is late. `choices` holds the choice for the
/// first attempt of each part; parts without a replica are not changed.
void SkipOverloadedParts(Query& query,
                         const std::vector<ReplicaChoice>& choices,
                         Instant now);

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_SKIP_OVERLOADED_PARTS_H_
