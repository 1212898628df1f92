#ifndef CLEMENTINERILL_ROLLOUT_VERSION_COUNTS_H_
#define CLEMENTINERILL_ROLLOUT_VERSION_COUNTS_H_

#include <cstdint>
#include <vector>

namespace clementinerill {

/// @brief What one version answered on one route during one period.
///
/// Sheds of a cold replica, cancellations and snapshot conflicts are no
/// failures of a version and must not be counted. The parts of one request fail
/// and slow together when the query itself is the cause, so comparisons use the
/// number of requests as sample size.
struct VersionCounts {
  uint64_t requests_ = 0;  ///< Requests of which parts are counted.
  uint64_t answers_ = 0;   ///< Parts (exchanges with one replica), failed too.
  uint64_t failures_ = 0;  ///< Errors, broken connections, missed deadlines.

  /// Successful parts by latency, on the axis of `latency_axis.h`. Shorter
  /// vectors are filled up with zeros.
  std::vector<uint64_t> latency_;
};

/// @brief Adds the counts of `more` to `sum`.
void Add(VersionCounts& sum, const VersionCounts& more);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROLLOUT_VERSION_COUNTS_H_
