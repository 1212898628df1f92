#ifndef CLEMENTINERILL_TRAFFIC_REPLICA_ELIGIBILITY_H_
#define CLEMENTINERILL_TRAFFIC_REPLICA_ELIGIBILITY_H_

#include <array>

#include "base/name_table.h"
#include "base/time.h"
#include "traffic/replica_state.h"
#include "traffic/traffic_view.h"

namespace clementinerill::traffic {

/// @brief Whether this daemon may send requests to a replica, and if limited,
/// why.
enum class ReplicaEligibility {
  kUsable,
  kOnProbation,  ///< One request at a time: slow or failed responses.
  kLeaving,      ///< Only while its service has no other replica.
  kGone,         ///< No requests: its grace period after leaving is over.
  kEjected,      ///< No requests for a time: consecutive failures.
  kEvacuated,    ///< No requests: its failure domain is evacuated.
  kMisdirected,  ///< No requests: another process has its address.
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

/// @brief Returns the eligibility of a replica; if several states apply, the
/// strictest.
[[nodiscard]] ReplicaEligibility EligibilityOf(const TrafficView& view,
                                               const ReplicaState& replica,
                                               Instant now);

/// @brief Whether a replica in this state may receive any requests.
[[nodiscard]] constexpr bool MayReceiveRequests(
    ReplicaEligibility eligibility) noexcept {
  return eligibility == ReplicaEligibility::kUsable ||
         eligibility == ReplicaEligibility::kOnProbation ||
         eligibility == ReplicaEligibility::kLeaving;
}

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_REPLICA_ELIGIBILITY_H_
