#include "rollout/judge.h"

#include <algorithm>

#include "rollout/statistics.h"

namespace clementinerill {

namespace {

double Deviations(const VersionCounts& counts) noexcept {
  return TimeUniformDeviations(counts.requests_, kJudgeAlpha / 2);
}

bool HasMoreErrors(const RouteCounts& route, double tolerance) noexcept {
  const auto new_interval = ErrorInterval(route.new_, Deviations(route.new_));
  const auto old_interval = ErrorInterval(route.old_, Deviations(route.old_));
  return new_interval.low_ > old_interval.high_ + tolerance;
}

bool IsSlower(const RouteCounts& route, double ratio) noexcept {
  const double new_deviations = Deviations(route.new_);
  const double old_deviations = Deviations(route.old_);
  for (const double quantile : {0.5, 0.95}) {
    const auto new_interval =
        QuantileInterval(route.new_, quantile, new_deviations);
    const auto old_interval =
        QuantileInterval(route.old_, quantile, old_deviations);
    if (new_interval.low_ > old_interval.high_ * ratio) {
      return true;
    }
  }
  return false;
}

bool HasTooFewRequests(const RouteCounts& route, uint64_t needed) noexcept {
  return std::min(route.old_.requests_, route.new_.requests_) < needed;
}

}  // namespace

Verdict Judge(const std::vector<RouteCounts>& routes,
              uint64_t needed_requests,
              const JudgeTolerance& tolerance,
              uint64_t generation) {
  Verdict verdict{VerdictKind::kContinue, StopReason::kNone, {}, generation};
  if (routes.empty()) {
    verdict.kind_ = VerdictKind::kHold;
  }
  for (const auto& route : routes) {
    if (HasMoreErrors(route, tolerance.error_rate_)) {
      return {VerdictKind::kStop, StopReason::kErrorRate, route.route_,
              generation};
    }
    if (IsSlower(route, tolerance.latency_ratio_)) {
      return {VerdictKind::kStop, StopReason::kLatency, route.route_,
              generation};
    }
    if (HasTooFewRequests(route, needed_requests) &&
        verdict.kind_ == VerdictKind::kContinue) {
      verdict.kind_ = VerdictKind::kHold;
      verdict.route_ = route.route_;
    }
  }
  return verdict;
}

}  // namespace clementinerill
