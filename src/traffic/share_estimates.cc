#include "traffic/share_estimates.h"

#include <cstdint>
#include <map>

#include "base/hash.h"

namespace clementinerill::traffic {
namespace {

uint32_t KeyOf(const ReplicaState& replica) {
  return static_cast<uint32_t>(Hash64(replica.entry_.id_));
}

}  // namespace

std::vector<capacity::SharedEstimate> ShareEstimates(const FleetState& fleet,
                                                     Instant now) {
  std::vector<capacity::SharedEstimate> estimates;
  for (const auto& [name, service] : fleet.services_) {
    for (const auto& replica : service->replicas_) {
      const auto shared =
          capacity::Share(replica->estimate_, KeyOf(*replica), now);
      if (shared) {
        estimates.push_back(*shared);
      }
    }
  }
  return estimates;
}

void ApplySharedEstimates(
    FleetState& fleet,
    const std::vector<capacity::SharedEstimate>& estimates,
    Instant now) {
  if (estimates.empty() || !fleet.limits_.learns_capacity_) {
    return;
  }
  std::map<uint32_t, const capacity::SharedEstimate*> by_key;
  for (const capacity::SharedEstimate& shared : estimates) {
    by_key[shared.replica_] = &shared;
  }
  for (const auto& [name, service] : fleet.services_) {
    for (const auto& replica : service->replicas_) {
      const auto found = by_key.find(KeyOf(*replica));
      if (found != by_key.end()) {
        capacity::ApplyShared(replica->estimate_, *found->second, now);
      }
    }
  }
}

}  // namespace clementinerill::traffic
