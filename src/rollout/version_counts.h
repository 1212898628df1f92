#ifndef CLEMENTINERILL_ROLLOUT_VERSION_COUNTS_H_
#define CLEMENTINERILL_ROLLOUT_VERSION_COUNTS_H_

#include <cstdint>
#include <vector>

namespace clementinerill {

/// @brief Request and part counts of one version on one route in one period.
///
/// Load shedding by a cold replica, cancellations and snapshot conflicts are
/// not failures of the version and must not be counted. The parts of one
/// request fail or slow down together when the query itself is the cause, so
/// comparisons use the number of requests as sample size.
struct VersionCounts {
  uint64_t requests_ = 0;  ///< Requests with at least one counted part.
  uint64_t parts_ = 0;     ///< Replica exchanges, including failed ones.
  uint64_t failures_ = 0;  ///< Errors, broken connections, missed deadlines.

  /// Successful parts by latency bucket (see `latency_axis.h`). Missing
  /// trailing buckets count as zero.
  std::vector<uint64_t> latency_;
};

/// @brief Adds the counts of `more` to `sum`.
void Add(VersionCounts& sum, const VersionCounts& more);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROLLOUT_VERSION_COUNTS_H_
