#include "mirror/relay_plan.h"

#include <algorithm>

#include "base/rendezvous.h"

namespace clementinerill::mirror {
namespace {

const DaemonRecord* FindDaemon(const std::vector<DaemonRecord>& daemons,
                               const std::string& name) {
  const auto found = std::find_if(
      daemons.begin(), daemons.end(),
      [&name](const DaemonRecord& daemon) { return daemon.name_ == name; });
  return found == daemons.end() ? nullptr : &*found;
}

RelayRole RoleOf(const std::string& self,
                 const std::vector<std::string>& ranked) {
  if (ranked.empty() || ranked.front() == self) {
    return RelayRole::kWatcher;
  }
  return std::find(ranked.begin(), ranked.end(), self) != ranked.end()
             ? RelayRole::kStandby
             : RelayRole::kReader;
}

}  // namespace

RelayPlan PlanRelays(const std::vector<DaemonRecord>& daemons,
                     const std::string& self) {
  RelayPlan plan;
  const DaemonRecord* own = FindDaemon(daemons, self);
  if (!own) {
    return plan;
  }
  std::vector<std::string> names;
  for (const DaemonRecord& daemon : daemons) {
    if (daemon.failure_domain_ == own->failure_domain_ &&
        !daemon.address_.empty()) {
      names.push_back(daemon.name_);
    }
  }
  auto ranked =
      RankByRendezvous("store-watcher:" + own->failure_domain_, names);
  // Prefers daemons with more capacity, because relaying a large configuration
  // to a whole failure domain takes seconds on a small VM.
  std::stable_sort(ranked.begin(), ranked.end(),
                   [&daemons](const std::string& a, const std::string& b) {
                     return FindDaemon(daemons, a)->capacity_ >
                            FindDaemon(daemons, b)->capacity_;
                   });
  ranked.resize(std::min(ranked.size(), kRelaysPerDomain));
  plan.role_ = RoleOf(self, ranked);
  for (const std::string& name : ranked) {
    if (name != self) {
      plan.relays_.push_back(*FindDaemon(daemons, name));
    }
  }
  return plan;
}

}  // namespace clementinerill::mirror
