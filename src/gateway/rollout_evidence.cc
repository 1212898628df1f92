#include "gateway/rollout_evidence.h"

#include <algorithm>

namespace clementinerill::gateway {
namespace {

// Counts of one period in `mirror::RolloutEvidence::routes_`.
constexpr size_t kCounts = 4;
// Counts of one step in `mirror::RolloutEvidence::trial_`.
constexpr size_t kTrialCounts = 2;

std::vector<int64_t> ToCounts(const traffic::RouteOutcomes& outcomes) {
  std::vector<int64_t> counts;
  counts.reserve(traffic::kPeriods * kCounts);
  for (const traffic::PeriodOutcomes& period : outcomes) {
    counts.insert(counts.end(),
                  {period.target_.judged_, period.target_.bad_,
                   period.current_.judged_, period.current_.bad_});
  }
  return counts;
}

traffic::VersionOutcomes OutcomesFrom(int64_t judged, int64_t bad) {
  return {judged, std::min(bad, judged)};
}

traffic::RouteOutcomes FromCounts(const std::vector<int64_t>& counts) {
  traffic::RouteOutcomes outcomes;
  const size_t periods = std::min(traffic::kPeriods, counts.size() / kCounts);
  for (size_t period = 0; period < periods; ++period) {
    const int64_t* count = &counts[period * kCounts];
    outcomes[period].target_ = OutcomesFrom(count[0], count[1]);
    outcomes[period].current_ = OutcomesFrom(count[2], count[3]);
  }
  return outcomes;
}

}  // namespace

mirror::RolloutEvidence ToMessage(const traffic::VersionComparison& comparison,
                                  Instant now) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  const traffic::RolloutOrder& order = comparison.order_;
  mirror::RolloutEvidence evidence;
  evidence.service_ = order.service_;
  evidence.target_version_ = order.target_version_;
  evidence.length_ = duration_cast<milliseconds>(order.length_);
  evidence.age_ = duration_cast<milliseconds>(now - order.ordered_);
  evidence.created_ = order.created_;
  evidence.target_attempts_ = comparison.target_attempts_;
  evidence.current_attempts_ = comparison.current_attempts_;
  evidence.trial_attempts_ = comparison.trial_.attempts_;
  for (const traffic::VersionOutcomes& step : comparison.trial_.steps_) {
    evidence.trial_.insert(evidence.trial_.end(), {step.judged_, step.bad_});
  }
  evidence.is_bad_ = comparison.is_bad_;
  evidence.daemons_ = comparison.daemons_;
  for (const auto& [route, outcomes] : comparison.routes_) {
    evidence.routes_[route] = ToCounts(outcomes);
  }
  for (const auto& [route, latencies] : comparison.latencies_) {
    evidence.latencies_[route] = {latencies.begin(), latencies.end()};
  }
  return evidence;
}

traffic::VersionComparison FromMessage(const mirror::RolloutEvidence& evidence,
                                       Instant now) {
  traffic::VersionComparison comparison;
  comparison.order_.service_ = evidence.service_;
  comparison.order_.target_version_ = evidence.target_version_;
  comparison.order_.length_ = evidence.length_;
  comparison.order_.ordered_ = now - evidence.age_;
  comparison.order_.created_ = evidence.created_;
  comparison.target_attempts_ = evidence.target_attempts_;
  comparison.current_attempts_ = evidence.current_attempts_;
  comparison.trial_.attempts_ = evidence.trial_attempts_;
  const size_t steps =
      std::min(traffic::kTrialSteps, evidence.trial_.size() / kTrialCounts);
  for (size_t step = 0; step < steps; ++step) {
    const int64_t* count = &evidence.trial_[step * kTrialCounts];
    comparison.trial_.steps_[step] = OutcomesFrom(count[0], count[1]);
  }
  comparison.is_bad_ = evidence.is_bad_;
  comparison.daemons_ = evidence.daemons_;
  for (const auto& [route, counts] : evidence.routes_) {
    comparison.routes_[route] = FromCounts(counts);
  }
  for (const auto& [route, counts] : evidence.latencies_) {
    traffic::LatencyHistogram& latencies = comparison.latencies_[route];
    latencies.fill(0);
    std::copy_n(counts.begin(), std::min(counts.size(), latencies.size()),
                latencies.begin());
  }
  return comparison;
}

}  // namespace clementinerill::gateway
