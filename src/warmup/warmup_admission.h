#ifndef CLEMENTINERILL_WARMUP_WARMUP_ADMISSION_H_
#define CLEMENTINERILL_WARMUP_WARMUP_ADMISSION_H_

#include <string>
#include <vector>

#include "warmup/warmup_candidate.h"

namespace clementinerill {

/// @brief Replicas of a service with `replicas` in all that may warm up at
/// once: one third, at least one, so that two of three never do.
[[nodiscard]] constexpr int MaxWarmingReplicas(int replicas) noexcept {
  return replicas < 6 ? 1 : replicas / 3;
}

/// @brief Chooses which cold replicas of one service receive requests.
///
/// `service` lists all replicas of the service, also those out of service.
/// Replicas that are cold by themselves are always admitted and count towards
/// the limit; replicas that are cold by choice wait until there is room. A
/// replica that waits stays out of service and keeps limit 0. Admitted
/// replicas stay admitted until they are warm, so that none is left half done.
/// @return names of the cold replicas that may receive requests, in order.
[[nodiscard]] std::vector<std::string> AdmitColdReplicas(
    const std::vector<WarmupCandidate>& service);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_WARMUP_WARMUP_ADMISSION_H_
