#include "traffic/fleet_comparison.h"

#include <algorithm>

namespace clementinerill::traffic {
namespace {

// Evidence is reported about twice a second.
constexpr Duration kMaxReportAge = std::chrono::seconds(3);

void Add(VersionOutcomes& sum, const VersionOutcomes& more) {
  sum.judged_ += more.judged_;
  sum.bad_ += more.bad_;
}

void Add(RouteOutcomes& sum, const RouteOutcomes& more) {
  for (size_t period = 0; period < kPeriods; ++period) {
    Add(sum[period].target_, more[period].target_);
    Add(sum[period].current_, more[period].current_);
  }
}

void Add(VersionComparison& sum, const VersionComparison& more) {
  sum.target_attempts_ += more.target_attempts_;
  sum.current_attempts_ += more.current_attempts_;
  sum.trial_.attempts_ += more.trial_.attempts_;
  for (size_t step = 0; step < kTrialSteps; ++step) {
    Add(sum.trial_.steps_[step], more.trial_.steps_[step]);
  }
  sum.is_bad_ = sum.is_bad_ || more.is_bad_;
  sum.daemons_ += more.daemons_;
  sum.order_.ordered_ = std::min(sum.order_.ordered_, more.order_.ordered_);
  for (const auto& [route, outcomes] : more.routes_) {
    Add(sum.routes_[route], outcomes);
  }
  for (const auto& [route, latencies] : more.latencies_) {
    AddLatencies(sum.latencies_[route], latencies);
  }
}

VersionComparison Aggregate(const FleetComparison& fleet,
                            const RolloutOrder& order,
                            bool only_direct) {
  VersionComparison sum;
  sum.order_ = order;
  sum.daemons_ = 0;
  for (const auto& [process, report] : fleet.by_process_) {
    if (IsSameOrder(report.evidence_.order_, order) &&
        (report.is_direct_ || !only_direct)) {
      Add(sum, report.evidence_);
    }
  }
  sum.is_bad_ = sum.is_bad_ || StandingOf(sum) == VersionStanding::kBad;
  return sum;
}

}  // namespace

void RecordEvidence(FleetComparison& fleet,
                    const std::string& process,
                    const VersionComparison& evidence,
                    bool is_direct,
                    Instant now) {
  fleet.by_process_[process] = {evidence, now, is_direct};
}

void DropOutdatedEvidence(FleetComparison& fleet,
                          const RolloutOrder& order,
                          Instant now) {
  for (auto it = fleet.by_process_.begin(); it != fleet.by_process_.end();) {
    const FleetComparison::Report& report = it->second;
    const bool is_outdated =
        (report.is_direct_ || report.evidence_.daemons_ > 1) &&
        now - report.reported_ > kMaxReportAge;
    it = is_outdated || !IsSameOrder(report.evidence_.order_, order)
             ? fleet.by_process_.erase(it)
             : std::next(it);
  }
}

VersionComparison AggregateEvidence(const FleetComparison& fleet,
                                    const RolloutOrder& order) {
  return Aggregate(fleet, order, false);
}

VersionComparison AggregateDirectEvidence(const FleetComparison& fleet,
                                          const RolloutOrder& order) {
  return Aggregate(fleet, order, true);
}

}  // namespace clementinerill::traffic
