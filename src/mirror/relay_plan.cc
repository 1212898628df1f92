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
                 const std::vector<DaemonRecord>& ranked) {
  if (ranked.empty() || ranked.front().name_ == self) {
    return RelayRole::kWatcher;
  }
  return FindDaemon(ranked, self) ? RelayRole::kStandby : RelayRole::kReader;
}

}  // namespace

std::vector<DaemonRecord> RelaysOfDomain(
    const std::vector<DaemonRecord>& daemons,
    const std::string& failure_domain) {
  std::vector<std::string> names;
  for (const DaemonRecord& daemon : daemons) {
    if (daemon.failure_domain_ == failure_domain && !daemon.address_.empty()) {
      names.push_back(daemon.name_);
    }
  }
  auto ranked = RankByRendezvous("store-watcher:" + failure_domain, names);
  // Prefers daemons with more capacity, because relaying a large configuration
  // to a whole failure domain takes seconds on a small VM.
  std::stable_sort(ranked.begin(), ranked.end(),
                   [&daemons](const std::string& a, const std::string& b) {
                     return FindDaemon(daemons, a)->capacity_ >
                            FindDaemon(daemons, b)->capacity_;
                   });
  ranked.resize(std::min(ranked.size(), kRelaysPerDomain));
  std::vector<DaemonRecord> relays;
  relays.reserve(ranked.size());
  for (const std::string& name : ranked) {
    relays.push_back(*FindDaemon(daemons, name));
  }
  return relays;
}

RelayPlan PlanRelays(const std::vector<DaemonRecord>& daemons,
                     const std::string& self) {
  RelayPlan plan;
  const DaemonRecord* own = FindDaemon(daemons, self);
  if (!own) {
    return plan;
  }
  const auto ranked = RelaysOfDomain(daemons, own->failure_domain_);
  plan.role_ = RoleOf(self, ranked);
  for (const DaemonRecord& relay : ranked) {
    if (relay.name_ != self) {
      plan.relays_.push_back(relay);
    }
  }
  return plan;
}

}  // namespace clementinerill::mirror
