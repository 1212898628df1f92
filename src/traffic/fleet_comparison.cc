#include "traffic/fleet_comparison.h"

namespace clementinerill::traffic {
namespace {

void Add(VersionOutcomes& sum, const VersionOutcomes& more) {
  sum.attempts_ += more.attempts_;
  sum.bad_ += more.bad_;
  sum.unjudged_ += more.unjudged_;
}

}  // namespace

void RecordEvidence(FleetComparison& fleet,
                    const std::string& daemon,
                    const VersionComparison& evidence) {
  fleet.by_daemon_[daemon] = evidence;
}

VersionComparison AggregateEvidence(const FleetComparison& fleet,
                                    const RolloutOrder& order) {
  VersionComparison sum;
  sum.order_ = order;
  for (const auto& [daemon, evidence] : fleet.by_daemon_) {
    if (!IsSameOrder(evidence.order_, order)) {
      continue;
    }
    Add(sum.target_, evidence.target_);
    Add(sum.current_, evidence.current_);
    sum.is_bad_ = sum.is_bad_ || evidence.is_bad_;
  }
  sum.is_bad_ = sum.is_bad_ || IsClearlyWorse(sum);
  return sum;
}

}  // namespace clementinerill::traffic
