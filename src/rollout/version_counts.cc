#include "rollout/version_counts.h"

#include <algorithm>
#include <cstddef>

namespace clementinerill {

void Add(VersionCounts& sum, const VersionCounts& more) {
  sum.requests_ += more.requests_;
  sum.parts_ += more.parts_;
  sum.failures_ += more.failures_;
  sum.latency_.resize(std::max(sum.latency_.size(), more.latency_.size()));
  for (size_t bucket = 0; bucket < more.latency_.size(); ++bucket) {
    sum.latency_[bucket] += more.latency_[bucket];
  }
}

}  // namespace clementinerill
