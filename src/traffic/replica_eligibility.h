#ifndef CLEMENTINERILL_TRAFFIC_REPLICA_ELIGIBILITY_H_
#define CLEMENTINERILL_TRAFFIC_REPLICA_ELIGIBILITY_H_

#include <array>

#include "base/name_table.h"
#include "base/time.h"
#include "traffic/replica_state.h"
#include "traffic/traffic_view.h"

namespace clementinerill::traffic {

/// @brief What this daemon may send to a replica, and why not more.
enum class ReplicaEligibility {
  kUsable,
  kOnProbation,  ///< One request at a time: slow or failing answers.
  kLeaving,      ///< Only while its service has no other replica.
  kGone,         ///< Nothing: it left too long ago.
  kEjected,      ///< Nothing for a moment: failures in a row.
  kEvacuated,    ///< Nothing: operators took its failure domain out.
  kMisdirected,  ///< Nothing: another process has its address.
};

inline constexpr std::array<NameEntry<ReplicaEligibility>, 7>
    kReplicaEligibilityNames = {{
        {ReplicaEligibility::kUsable, "usable"},
        {ReplicaEligibility::kOnProbation, "on_probation"},
        {ReplicaEligibility::kLeaving, "leaving"},
        {ReplicaEligibility::kGone, "gone"},
        {ReplicaEligibility::kEjected, "avoided"},
        {ReplicaEligibility::kEvacuated, "evacuated"},
        {ReplicaEligibility::kMisdirected, "misdirected"},
    }};

/// @brief The standing of a replica; of several, the strictest.
[[nodiscard]] ReplicaEligibility EligibilityOf(const TrafficView& view,
                                               const ReplicaState& replica,
                                               Instant now);

/// @brief Whether a replica of this standing may get requests at all.
[[nodiscard]] constexpr bool MayGetRequests(
    ReplicaEligibility standing) noexcept {
  return standing == ReplicaEligibility::kUsable ||
         standing == ReplicaEligibility::kOnProbation ||
         standing == ReplicaEligibility::kLeaving;
}

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_REPLICA_ELIGIBILITY_H_
