#ifndef CLEMENTINERILL_EXPLAIN_EXPLAIN_LIMITS_H_
#define CLEMENTINERILL_EXPLAIN_EXPLAIN_LIMITS_H_

#include <cstddef>

#include "base/time.h"

namespace clementinerill {

/// @brief Memory limits of an `ExplainLog` and the threshold for slow queries.
///
/// A record of a fan-out query to 54 services takes about 16 KB, so the
/// defaults hold about 250 ordinary and 750 notable records of this size.
struct ExplainLimits {
  size_t ordinary_bytes_ = size_t{4} << 20U;
  size_t notable_bytes_ = size_t{12} << 20U;
  /// Queries that take at least this long are slow. The default is the 99th
  /// percentile latency target, 260 ms.
  Duration slow_threshold_ = std::chrono::milliseconds(260);
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_EXPLAIN_EXPLAIN_LIMITS_H_
