#ifndef CLEMENTINERILL_TRAFFIC_REPLICA_STANDING_H_
#define CLEMENTINERILL_TRAFFIC_REPLICA_STANDING_H_

#include <array>

#include "base/name_table.h"
#include "base/time.h"
#include "traffic/replica_state.h"
#include "traffic/traffic_view.h"

namespace clementinerill::traffic {

/// @brief What this daemon may send to a replica, and why not more.
enum class ReplicaStanding {
  kUsable,
  kOnProbation,  ///< One request at a time: slow or failing answers.
  kLeaving,      ///< Only while its service has no other replica.
  kGone,         ///< Nothing: it left too long ago.
  kAvoided,      ///< Nothing for a moment: failures in a row.
  kEvacuated,    ///< Nothing: operators took its failure domain out.
  kMisdirected,  ///< Nothing: another process has its address.
};

inline constexpr std::array<NameEntry<ReplicaStanding>, 7>
    kReplicaStandingNames = {{
        {ReplicaStanding::kUsable, "usable"},
        {ReplicaStanding::kOnProbation, "on_probation"},
        {ReplicaStanding::kLeaving, "leaving"},
        {ReplicaStanding::kGone, "gone"},
        {ReplicaStanding::kAvoided, "avoided"},
        {ReplicaStanding::kEvacuated, "evacuated"},
        {ReplicaStanding::kMisdirected, "misdirected"},
    }};

/// @brief The standing of a replica; of several, the strictest.
[[nodiscard]] ReplicaStanding StandingOf(const TrafficView& view,
                                         const ReplicaState& replica,
                                         Instant now);

/// @brief Whether a replica of this standing may get requests at all.
[[nodiscard]] constexpr bool MayGetRequests(ReplicaStanding standing) noexcept {
  return standing == ReplicaStanding::kUsable ||
         standing == ReplicaStanding::kOnProbation ||
         standing == ReplicaStanding::kLeaving;
}

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_REPLICA_STANDING_H_
