#ifndef CLEMENTINERILL_EXPLAIN_EXPLAIN_LIMITS_H_
#define CLEMENTINERILL_EXPLAIN_EXPLAIN_LIMITS_H_

#include <cstddef>

#include "base/time.h"

namespace clementinerill {

/// @brief How many bytes of records one daemon keeps, and which it keeps
/// longer.
///
/// A record of a sweep over 54 services takes about 16 KB, so the defaults hold
/// about 250 and 750 of them.
struct ExplainLimits {
  size_t ordinary_bytes_ = size_t{4} << 20U;
  size_t notable_bytes_ = size_t{12} << 20U;
  /// A query that takes at least this long is slow. 260 ms is the time within
  /// which 99 in 100 answers are due.
  Duration slow_threshold_ = std::chrono::milliseconds(260);
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_EXPLAIN_EXPLAIN_LIMITS_H_
