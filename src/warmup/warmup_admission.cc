#include "warmup/warmup_admission.h"

#include <algorithm>

namespace clementinerill {

namespace {

bool IsWarmingUp(const WarmupCandidate& candidate) noexcept {
  return candidate.in_service_ && candidate.cold_ &&
         (candidate.admitted_ || !candidate.operator_initiated_);
}

}  // namespace

std::vector<std::string> AdmitColdReplicas(
    const std::vector<WarmupCandidate>& service) {
  const int limit = MaxWarmingReplicas(static_cast<int>(service.size()));
  int warming = static_cast<int>(
      std::count_if(service.begin(), service.end(), IsWarmingUp));
  std::vector<std::string> admitted;
  for (const auto& candidate : service) {
    if (!candidate.in_service_ || !candidate.cold_) {
      continue;
    }
    if (!IsWarmingUp(candidate)) {
      if (warming >= limit) {
        continue;
      }
      ++warming;
    }
    admitted.push_back(candidate.replica_);
  }
  return admitted;
}

}  // namespace clementinerill
