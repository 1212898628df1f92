#include "mirror/daemon_liveness.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "mirror/relay_plan.h"

namespace clementinerill::mirror {

void RecordProbe(DaemonLiveness& liveness,
                 const std::string& daemon,
                 bool answered,
                 Instant now) {
  if (answered) {
    liveness.silent_since_.erase(daemon);
  } else {
    liveness.silent_since_.emplace(daemon, now);
  }
}

bool IsGone(const DaemonLiveness& liveness,
            const std::string& daemon,
            Instant now) {
  const auto found = liveness.silent_since_.find(daemon);
  return found != liveness.silent_since_.end() &&
         now - found->second >= kGoneAfter;
}

void Forget(DaemonLiveness& liveness, const std::vector<DaemonRecord>& probed) {
  std::map<std::string, Instant> kept;
  for (const DaemonRecord& daemon : probed) {
    const auto found = liveness.silent_since_.find(daemon.name_);
    if (found != liveness.silent_since_.end()) {
      kept.insert(*found);
    }
  }
  liveness.silent_since_ = std::move(kept);
}

std::vector<DaemonRecord> DaemonsToProbe(
    const std::vector<DaemonRecord>& daemons,
    const std::string& self) {
  const auto own = std::find_if(
      daemons.begin(), daemons.end(),
      [&self](const DaemonRecord& daemon) { return daemon.name_ == self; });
  const RelayPlan plan = PlanRelays(daemons, self);
  if (own == daemons.end() || plan.role_ == RelayRole::kReader) {
    return {};
  }
  if (plan.role_ == RelayRole::kStandby) {
    return plan.relays_;
  }
  std::vector<DaemonRecord> others;
  std::copy_if(daemons.begin(), daemons.end(), std::back_inserter(others),
               [&own](const DaemonRecord& daemon) {
                 return daemon.name_ != own->name_ &&
                        daemon.failure_domain_ == own->failure_domain_ &&
                        !daemon.address_.empty();
               });
  return others;
}

}  // namespace clementinerill::mirror
