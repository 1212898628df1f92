#include "membership/lease.h"

#include <algorithm>
#include <functional>

#include "membership/timing.h"

namespace clementinerill {

Instant LeaseEnd(std::vector<Instant> sent, int majority) {
  if (static_cast<int>(sent.size()) < majority) {
    return Instant::min();
  }
  const auto oldest_needed = sent.begin() + (majority - 1);
  std::nth_element(sent.begin(), oldest_needed, sent.end(), std::greater<>());
  return *oldest_needed + kLeaseDuration;
}

}  // namespace clementinerill
