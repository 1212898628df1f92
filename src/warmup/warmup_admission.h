#ifndef CLEMENTINERILL_WARMUP_WARMUP_ADMISSION_H_
#define CLEMENTINERILL_WARMUP_WARMUP_ADMISSION_H_

#include <string>
#include <vector>

#include "warmup/warmup_candidate.h"

namespace clementinerill {

/// @brief Maximum number of replicas that may warm up at the same time in a
/// service of `replicas` replicas.
///
/// One third, but at least one, so that the limit never admits two of three
/// replicas.
[[nodiscard]] constexpr int MaxWarmingReplicas(int replicas) noexcept {
  return replicas < 6 ? 1 : replicas / 3;
}

/// @brief Selects the cold replicas of a service that may receive requests.
///
/// `service` lists all replicas of the service, including those out of service.
/// Replicas that became cold without operator action are always admitted and
/// count towards the limit. Replicas that are cold because their failure domain
/// was returned to service wait until the limit allows another; a waiting
/// replica stays out of service with limit 0. Admitted replicas stay admitted
/// until they are warm, so that no warm-up is interrupted.
/// @return names of the admitted replicas, in the order of `service`.
[[nodiscard]] std::vector<std::string> AdmitColdReplicas(
    const std::vector<WarmupCandidate>& service);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_WARMUP_WARMUP_ADMISSION_H_
