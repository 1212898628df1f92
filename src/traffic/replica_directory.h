#ifndef CLEMENTINERILL_TRAFFIC_REPLICA_DIRECTORY_H_
#define CLEMENTINERILL_TRAFFIC_REPLICA_DIRECTORY_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "traffic/replica_entry.h"

namespace clementinerill::traffic {

/// @brief How long a replica whose entry vanished, or that says it leaves, may
/// still serve when its service has no other replica.
///
/// Entries that lapsed during an outage of the store return within about 2 s,
/// and a leaving replica serves for 3 s or longer after the store accepted it;
/// the margin covers the way of the event to this daemon.
inline constexpr Duration kLeavingGrace = std::chrono::milliseconds(2000);

/// @brief The replicas known from service discovery, by id.
struct ReplicaDirectory {
  std::map<std::string, ReplicaEntry> replicas_;
};

/// @brief Adds or replaces one replica. `entry.leaving_since_` says whether the
/// replica announced that it leaves; the first such time is kept.
void UpsertReplica(ReplicaDirectory& directory, ReplicaEntry entry);

/// @brief Notes that the entry of `id` vanished; the replica is leaving.
void MarkReplicaUnlisted(ReplicaDirectory& directory,
                         const std::string& id,
                         Instant now);

/// @brief Takes a complete list; replicas that it lacks are leaving.
void ReplaceReplicas(ReplicaDirectory& directory,
                     std::vector<ReplicaEntry> entries,
                     Instant now);

/// @brief Forgets replicas whose entry vanished and that have been leaving for
/// `kLeavingGrace`; whether there were any.
bool EvictDepartedReplicas(ReplicaDirectory& directory, Instant now);

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_REPLICA_DIRECTORY_H_
