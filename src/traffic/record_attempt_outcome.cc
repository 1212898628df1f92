#include "traffic/record_attempt_outcome.h"

#include <utility>

namespace clementinerill::traffic {
namespace {

Duration UsualLatency(const ServiceState& service, const std::string& route) {
  if (!service.version_share_) {
    return Duration::zero();
  }
  const auto& latencies = service.version_share_->usual_latencies_;
  const auto found = latencies.find(route);
  return found == latencies.end() ? Duration::zero() : found->second;
}

void RecordRollout(ServiceState& service,
                   const Attempt& attempt,
                   const std::string& route,
                   Instant now) {
  if (!service.rollout_) {
    return;
  }
  VersionComparison& rollout = *service.rollout_;
  const bool is_target = IsTargetVersion(service, *attempt.replica_);
  RecordVersionOutcome(
      rollout, route,
      {is_target, IsCold(*attempt.replica_, now), attempt.outcome_,
       attempt.duration_, UsualLatency(service, route)},
      now);
  rollout.is_bad_ = rollout.is_bad_ ||
                    (is_target && StandingOf(rollout) == VersionStanding::kBad);
}

// With the latencies of a slow target version, its slow responses would count
// as usual ones.
bool IsUndecidedTarget(const ServiceState& service,
                       const ReplicaState& replica) {
  return IsTargetVersion(service, replica) &&
         service.rollout_->order_.state_ != RolloutState::kCompleted;
}

// Only healthy replicas count for an estimate: with the latencies of slow ones,
// hedges would be sent later the more they are needed. Until the latency has
// been measured, all replicas of a service of long requests look slow.
void RecordLatency(LatencyEstimate& estimate,
                   const ReplicaState& replica,
                   Duration latency) {
  if (!estimate.IsMeasured() || !IsOnProbation(replica)) {
    estimate.Add(latency);
  }
}

}  // namespace

void RecordAttemptOutcome(FleetState& fleet,
                          Query& query,
                          SendAction action,
                          AttemptOutcome outcome,
                          ReplicaResponse response,
                          Instant now) {
  QueryPart& part = query.parts_[action.part_];
  Attempt& attempt = part.attempts_[action.attempt_];
  if (!attempt.is_open_) {
    return;
  }
  attempt.is_open_ = false;
  attempt.outcome_ = outcome;
  attempt.duration_ = now - attempt.sent_;
  RouteState& route = fleet.routes_[query.route_->name_];
  RecordRollout(*part.service_, attempt, query.route_->name_, now);
  RecordOutcome(*attempt.replica_, outcome, attempt.sent_,
                route.latency_.Median(), now);
  if (outcome == AttemptOutcome::kAnswered) {
    if (!IsUndecidedTarget(*part.service_, *attempt.replica_)) {
      RecordLatency(route.latency_, *attempt.replica_, attempt.duration_);
      RecordLatency(part.service_->latency_, *attempt.replica_,
                    attempt.duration_);
    }
    if (part.state_ != PartState::kAnswered) {
      part.state_ = PartState::kAnswered;
      part.response_ = std::move(response);
    }
  } else if (outcome == AttemptOutcome::kFailed) {
    part.failed_response_ = std::move(response);
  }
}

}  // namespace clementinerill::traffic
