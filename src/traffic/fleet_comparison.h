#ifndef CLEMENTINERILL_TRAFFIC_FLEET_COMPARISON_H_
#define CLEMENTINERILL_TRAFFIC_FLEET_COMPARISON_H_

#include <map>
#include <string>

#include "traffic/version_comparison.h"

namespace clementinerill::traffic {

/// @brief The evidence of several daemons about one rollout.
///
/// A daemon of a large fleet sees a handful of the target version's answers,
/// too few to judge it before many bad ones have reached callers.
struct FleetComparison {
  std::map<std::string, VersionComparison> by_daemon_;
};

/// @brief Takes the latest evidence of a daemon, which replaces its earlier
/// one.
void RecordEvidence(FleetComparison& fleet,
                    const std::string& daemon,
                    const VersionComparison& evidence);

/// @brief The sum of the evidence about `order`; evidence about another one is
/// left out. Bad when one daemon found it bad or the sum shows it.
[[nodiscard]] VersionComparison AggregateEvidence(const FleetComparison& fleet,
                                                  const RolloutOrder& order);

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_FLEET_COMPARISON_H_
