#include "traffic/record_report.h"

#include <algorithm>

#include "base/hash.h"
#include "traffic/limit_share.h"

namespace clementinerill::traffic {
namespace {

// A response without a limit ends the limit only this long after the last one
// that named it: responses on different connections overtake each other.
constexpr Duration kRateLimitHold = std::chrono::milliseconds(500);
// Lower bound of the rate of all daemons. Without any request a daemon would
// not learn that the limit has ended.
constexpr double kMinRequestsPerS = 0.5;
// Upper bound, far above the rate of any replica, which keeps the number of
// permits in the range of its type.
constexpr double kMaxRequestsPerS = 1e6;

// Fraction of the first permit that has passed; differs between daemons.
double PhaseOf(const FleetState& fleet, const ReplicaState& replica) {
  constexpr uint64_t kSteps = 1024;
  const uint64_t step = Hash64(fleet.name_ + replica.entry_.id_) % kSteps;
  return static_cast<double>(step) / static_cast<double>(kSteps);
}

// Returns the share of this daemon in the rate limit of the replica.
double ShareOf(const FleetState& fleet, const ReplicaState& replica) {
  const auto service = FindService(fleet, replica.entry_.service_);
  return service ? LimitShare(fleet, *service)
                 : 1.0 / CountDaemons(*fleet.view_);
}

void RecordRateLimit(const FleetState& fleet,
                     ReplicaState& replica,
                     const std::optional<double>& requests_per_s,
                     Instant now) {
  if (!requests_per_s) {
    if (replica.rate_limit_ &&
        now - replica.rate_limit_named_at_ >= kRateLimitHold) {
      replica.rate_limit_.reset();
    }
    return;
  }
  const double share =
      std::clamp(*requests_per_s, kMinRequestsPerS, kMaxRequestsPerS) *
      ShareOf(fleet, replica);
  if (replica.rate_limit_) {
    SetRate(replica.rate_allowance_, share, now);
  } else {
    replica.rate_allowance_ =
        MakeRateAllowance(share, PhaseOf(fleet, replica), now);
  }
  replica.rate_limit_ = requests_per_s;
  replica.rate_limit_named_at_ = now;
}

}  // namespace

void RecordReport(const FleetState& fleet,
                  ReplicaState& replica,
                  const ReplicaReport& report,
                  Instant now) {
  if (report.load_) {
    replica.reported_busy_ = report.load_->running_ + report.load_->waiting_;
    replica.reported_at_ = now;
    if (report.load_->pace_ && fleet.limits_.learns_capacity_) {
      const ReportedLoad& load = *report.load_;
      capacity::RecordReport(
          replica.estimate_,
          {load.running_, load.waiting_, load.slots_, *load.pace_}, now);
    }
  }
  if (report.warmup_remaining_) {
    replica.entry_.cold_until_ = now + *report.warmup_remaining_;
  }
  RecordRateLimit(fleet, replica, report.rate_limit_, now);
  if (report.pause_) {
    replica.paused_until_ =
        std::max(replica.paused_until_, now + *report.pause_);
  }
}

bool RecordReportedDeparture(FleetState& fleet,
                             ReplicaState& replica,
                             Instant now) {
  if (replica.departure_reported_at_) {
    return false;
  }
  replica.departure_reported_at_ = now;
  return RecordDeparture(fleet.departures_, replica.entry_, now);
}

}  // namespace clementinerill::traffic
