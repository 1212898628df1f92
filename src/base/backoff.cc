#include "base/backoff.h"

#include <algorithm>

namespace clementinerill {

Duration BackoffDelay(const BackoffPolicy& policy,
                      int failures,
                      uint64_t random) noexcept {
  if (failures <= 0) {
    return Duration::zero();
  }
  Duration delay = policy.initial_delay_;
  for (int i = 1; i < failures && delay < policy.max_delay_; ++i) {
    delay *= 2;
  }
  delay = std::min(delay, policy.max_delay_);
  constexpr uint64_t kJitterSteps = 1024;
  const auto step = static_cast<Duration::rep>(random % (kJitterSteps + 1));
  return delay / 2 +
         (delay / 2) * step / static_cast<Duration::rep>(kJitterSteps);
}

}  // namespace clementinerill
