#include "fakes/platform/call_counter.h"

#include <algorithm>

namespace clementinerill {

void CallCounter::Count(uint64_t CallCounts::*member, Instant now) {
  const std::lock_guard lock(mutex_);
  ++counts_.calls_;
  ++(counts_.*member);
  if (now - second_start_ >= std::chrono::seconds(1)) {
    second_start_ = now;
    calls_in_second_ = 0;
  }
  ++calls_in_second_;
  counts_.peak_calls_per_second_ =
      std::max(counts_.peak_calls_per_second_, calls_in_second_);
}

CallCounts CallCounter::Counts() const {
  const std::lock_guard lock(mutex_);
  return counts_;
}

}  // namespace clementinerill
