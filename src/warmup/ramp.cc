#include "warmup/ramp.h"

#include <algorithm>

namespace clementinerill {

void ResetRamp(Ramp& ramp, int limit) noexcept {
  ramp.limit_ = limit;
  ramp.progress_ = 0;
  ++ramp.level_;
}

void CapRampLimit(Ramp& ramp, int max_limit) noexcept {
  const int limit = std::max(1, max_limit);
  if (ramp.limit_ > limit) {
    ResetRamp(ramp, limit);
  }
}

bool CountResponse(Ramp& ramp, bool fast, int max_limit) noexcept {
  const int goal = kResponsesPerSlot * ramp.limit_;
  ramp.progress_ = std::clamp(ramp.progress_ + (fast ? 1 : -1), 0, goal);
  if (ramp.progress_ < goal) {
    return false;
  }
  if (ramp.limit_ < max_limit) {
    ResetRamp(ramp, std::min(2 * ramp.limit_, max_limit));
    return false;
  }
  return true;
}

}  // namespace clementinerill
