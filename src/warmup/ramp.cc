#include "warmup/ramp.h"

#include <algorithm>

namespace clementinerill {

void ResetRamp(Ramp& ramp, int limit) noexcept {
  ramp.limit_ = limit;
  ramp.progress_ = 0;
  ++ramp.level_;
}

void BoundRamp(Ramp& ramp, int bound) noexcept {
  const int limit = std::max(1, bound);
  if (ramp.limit_ > limit) {
    ResetRamp(ramp, limit);
  }
}

bool CountAnswer(Ramp& ramp, bool fast, int bound) noexcept {
  const int goal = kResponsesPerSlot * ramp.limit_;
  ramp.progress_ = std::clamp(ramp.progress_ + (fast ? 1 : -1), 0, goal);
  if (ramp.progress_ < goal) {
    return false;
  }
  if (ramp.limit_ < bound) {
    ResetRamp(ramp, std::min(2 * ramp.limit_, bound));
    return false;
  }
  return true;
}

}  // namespace clementinerill
