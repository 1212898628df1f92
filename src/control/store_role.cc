#include "control/store_role.h"

#include <algorithm>
#include <utility>

#include "base/rendezvous.h"

namespace clementinerill {

StoreRole RoleOf(const std::string& daemon,
                 std::vector<std::string> live_members) {
  if (std::find(live_members.begin(), live_members.end(), daemon) ==
      live_members.end()) {
    live_members.push_back(daemon);
  }
  const auto ranked = RankByRendezvous("config-watch", std::move(live_members));
  const size_t watchers = std::min(kWatchersPerGroup, ranked.size());
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(watchers);
  return std::find(ranked.begin(), end, daemon) != end ? StoreRole::kWatch
                                                       : StoreRole::kPoll;
}

}  // namespace clementinerill
