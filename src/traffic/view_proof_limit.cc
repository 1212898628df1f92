#include "traffic/view_proof_limit.h"

#include <algorithm>

namespace clementinerill::traffic {

std::optional<Duration> RequiredProofAge(
    std::optional<Duration> max_view_age,
    const TrafficConfiguration* configuration) {
  return configuration && configuration->organisations_ ? max_view_age
                                                        : std::nullopt;
}

std::optional<Duration> RequiredProofAge(const FleetState& fleet) {
  return RequiredProofAge(fleet.limits_.max_view_age_,
                          fleet.view_->configuration_.get());
}

bool HasRequiredProof(const FleetState& fleet, BootInstant now) {
  return organisations::IsRecent(fleet.view_proof_, RequiredProofAge(fleet),
                                 now);
}

bool CanServe(const FleetState& fleet, BootInstant now) {
  return fleet.view_->configuration_ && !fleet.view_->replicas_.empty() &&
         HasRequiredProof(fleet, now);
}

int64_t ProofAgeMilliseconds(const FleetState& fleet, BootInstant now) {
  const auto& confirmed_at = fleet.view_proof_.confirmed_at_;
  return confirmed_at
             ? std::max<int64_t>(ToMilliseconds(now - *confirmed_at), 0)
             : -1;
}

}  // namespace clementinerill::traffic
