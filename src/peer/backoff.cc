#include "peer/backoff.h"

#include <algorithm>

namespace clementinerill {

Duration RedialDelay(int failures, double jitter) noexcept {
  // Six doublings exceed the longest delay.
  const int doublings = std::clamp(failures - 1, 0, 6);
  const Duration longest =
      std::min(kFirstRedialDelay * (1 << doublings), kLongestRedialDelay);
  const auto half = longest / 2;
  const auto extra = std::chrono::duration<double>(half) * jitter;
  return half + std::chrono::duration_cast<Duration>(extra);
}

}  // namespace clementinerill
