#include "mirror/daemon_liveness.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "mirror/relay_plan.h"

namespace clementinerill::mirror {
namespace {

// A failure domain of the planned size of 154 daemons is probed once in about
// five minutes.
constexpr Duration kRelayProbePeriod = std::chrono::seconds(2);
// Longer than that of relays: readers poll the relays continuously anyway, and
// all readers of a failure domain probe them.
constexpr Duration kReaderProbePeriod = std::chrono::seconds(30);

}  // namespace

void RecordProbeResult(DaemonLiveness& liveness,
                       const std::string& daemon,
                       bool answered,
                       Instant now) {
  if (answered) {
    liveness.silent_since_.erase(daemon);
  } else {
    liveness.silent_since_.emplace(daemon, now);
  }
}

bool IsExpired(const DaemonLiveness& liveness,
               const std::string& daemon,
               Instant now) {
  const auto found = liveness.silent_since_.find(daemon);
  return found != liveness.silent_since_.end() &&
         now - found->second >= kDaemonExpiry;
}

void RetainOnly(DaemonLiveness& liveness,
                const std::vector<DaemonRecord>& probed) {
  std::map<std::string, Instant> kept;
  for (const DaemonRecord& daemon : probed) {
    const auto found = liveness.silent_since_.find(daemon.name_);
    if (found != liveness.silent_since_.end()) {
      kept.insert(*found);
    }
  }
  liveness.silent_since_ = std::move(kept);
}

ProbePlan PlanProbes(const std::vector<DaemonRecord>& daemons,
                     const std::string& self) {
  const auto own = std::find_if(
      daemons.begin(), daemons.end(),
      [&self](const DaemonRecord& daemon) { return daemon.name_ == self; });
  if (own == daemons.end()) {
    return {{}, kRelayProbePeriod};
  }
  RelayPlan plan = PlanRelays(daemons, self);
  if (plan.role_ != RelayRole::kWatcher) {
    const bool is_standby = plan.role_ == RelayRole::kStandby;
    return {std::move(plan.relays_),
            is_standby ? kRelayProbePeriod : kReaderProbePeriod};
  }
  ProbePlan probes{{}, kRelayProbePeriod};
  std::copy_if(daemons.begin(), daemons.end(),
               std::back_inserter(probes.daemons_),
               [&own](const DaemonRecord& daemon) {
                 return daemon.name_ != own->name_ &&
                        daemon.failure_domain_ == own->failure_domain_ &&
                        !daemon.address_.empty();
               });
  return probes;
}

}  // namespace clementinerill::mirror
