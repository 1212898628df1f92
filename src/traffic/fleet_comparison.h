#ifndef CLEMENTINERILL_TRAFFIC_FLEET_COMPARISON_H_
#define CLEMENTINERILL_TRAFFIC_FLEET_COMPARISON_H_

#include <map>
#include <string>

#include "base/time.h"
#include "traffic/version_comparison.h"

namespace clementinerill::traffic {

/// @brief Evidence about one rollout from several daemons.
///
/// A single daemon sees only a handful of responses of the target version: too
/// few to judge it before many bad responses have reached callers, and far too
/// few to complete it.
struct FleetComparison {
  struct Report {
    VersionComparison evidence_;
    Instant reported_{};
    /// Reported by the process itself, which reports to one daemon at a time.
    bool is_direct_ = true;
  };

  /// By process: the counts of a process that has ended remain valid.
  std::map<std::string, Report> by_process_;
};

/// @brief Stores the evidence of a process; replaces its earlier evidence.
void RecordEvidence(FleetComparison& fleet,
                    const std::string& process,
                    const VersionComparison& evidence,
                    bool is_direct,
                    Instant now);

/// @brief Drops evidence about other orders, and evidence that was not reported
/// again in time although another daemon may have it now: direct evidence and
/// sums of several daemons.
void DropOutdatedEvidence(FleetComparison& fleet,
                          const RolloutOrder& order,
                          Instant now);

/// @brief Returns the sum of the evidence about `order`; evidence about another
/// order is ignored.
///
/// The target version is bad if one daemon found it bad or if the sum shows it.
/// The order of the sum began when the first of the daemons learned of it.
[[nodiscard]] VersionComparison AggregateEvidence(const FleetComparison& fleet,
                                                  const RolloutOrder& order);

/// @brief The same for direct evidence only.
[[nodiscard]] VersionComparison AggregateDirectEvidence(
    const FleetComparison& fleet,
    const RolloutOrder& order);

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_FLEET_COMPARISON_H_
