#ifndef CLEMENTINERILL_TRAFFIC_REPLICA_DIRECTORY_H_
#define CLEMENTINERILL_TRAFFIC_REPLICA_DIRECTORY_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "traffic/replica_entry.h"

namespace clementinerill::traffic {

/// @brief The longest time for which a replica whose entry was removed, or that
/// announced its departure, may still receive requests if its service has no
/// other replica. A deployment may allow less.
///
/// Entries that expired during an outage of the store return within about 2 s.
/// A leaving replica serves for at least 3 s after the store accepted its
/// announcement; the margin covers the propagation of the event to this daemon.
inline constexpr Duration kLeavingGrace = std::chrono::milliseconds(2000);

/// @brief The replicas known from service discovery.
struct ReplicaDirectory {
  /// By id.
  std::map<std::string, ReplicaEntry> replicas_;
};

/// @brief Adds or replaces one replica.
///
/// `entry.leaving_since_` is set if the replica announced its departure. The
/// same process keeps the time of its first announcement, also if a later entry
/// has none: the store may have returned from a copy made before it.
void UpsertReplica(ReplicaDirectory& directory, ReplicaEntry entry);

/// @brief Marks the entry of `id` as removed from service discovery and the
/// replica as leaving.
void MarkReplicaUnlisted(ReplicaDirectory& directory,
                         const std::string& id,
                         Instant now);

/// @brief Applies a complete list; replicas missing from it are marked as
/// unlisted.
void ReplaceReplicas(ReplicaDirectory& directory,
                     std::vector<ReplicaEntry> entries,
                     Instant now);

/// @brief Removes unlisted replicas that have been leaving for at least
/// `grace`. Returns whether there were any.
bool EvictDepartedReplicas(ReplicaDirectory& directory,
                           Duration grace,
                           Instant now);

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_REPLICA_DIRECTORY_H_
