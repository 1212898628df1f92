#ifndef CLEMENTINERILL_ROLLOUT_ROUTE_COUNTS_H_
#define CLEMENTINERILL_ROLLOUT_ROUTE_COUNTS_H_

#include <string>

#include "rollout/version_counts.h"

namespace clementinerill {

/// @brief Counts of both versions on one route over the same period.
struct RouteCounts {
  std::string route_;
  VersionCounts old_;
  VersionCounts new_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROLLOUT_ROUTE_COUNTS_H_
