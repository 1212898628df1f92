#ifndef CLEMENTINERILL_TRAFFIC_FLEET_COMPARISON_H_
#define CLEMENTINERILL_TRAFFIC_FLEET_COMPARISON_H_

#include <map>
#include <string>

#include "traffic/version_comparison.h"

namespace clementinerill::traffic {

/// @brief Evidence about one rollout from several daemons.
///
/// In a large fleet a single daemon sees only a handful of responses of the
/// target version: too few to judge it before many bad responses have reached
/// callers.
struct FleetComparison {
  std::map<std::string, VersionComparison> by_daemon_;
};

/// @brief Stores the evidence of a daemon; replaces its earlier evidence.
void RecordEvidence(FleetComparison& fleet,
                    const std::string& daemon,
                    const VersionComparison& evidence);

/// @brief Returns the sum of the evidence about `order`; evidence about another
/// order is ignored.
///
/// The target version is bad if one daemon found it bad or if the sum shows it.
[[nodiscard]] VersionComparison AggregateEvidence(const FleetComparison& fleet,
                                                  const RolloutOrder& order);

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_FLEET_COMPARISON_H_
