#include "control/fetch_plan.h"

#include <algorithm>
#include <utility>

#include "base/rendezvous.h"
#include "control/apply_if_newer.h"
#include "control/store_schedule.h"

namespace clementinerill {
namespace {

// The peers with the highest version above the wanted one. Daemons that ask
// for the same version are spread over them, and each repetition moves on.
std::optional<std::string> ChoosePeer(const ConfigurationState& state,
                                      const std::vector<PeerVersion>& peers) {
  uint64_t highest = WatchVersion(state);
  std::vector<std::string> holders;
  for (const PeerVersion& peer : peers) {
    if (peer.version_ > highest) {
      highest = peer.version_;
      holders.clear();
    }
    if (peer.version_ == highest && highest > WatchVersion(state)) {
      holders.push_back(peer.peer_);
    }
  }
  if (holders.empty()) {
    return std::nullopt;
  }
  const auto ranked = RankByRendezvous(state.daemon_, std::move(holders));
  const auto asks = static_cast<size_t>(state.peer_request_count_);
  return ranked[asks % ranked.size()];
}

}  // namespace

FetchPlan PlanFetch(const ConfigurationState& state,
                    const std::vector<PeerVersion>& peers,
                    StoreRole role,
                    Instant now) {
  FetchPlan plan;
  plan.store_due_ = NextStoreCall(state, role) <= now;
  const bool is_waiting = state.last_peer_request_ &&
                          now < *state.last_peer_request_ + kPeerRequestTimeout;
  if (!is_waiting) {
    plan.peer_ = ChoosePeer(state, peers);
  }
  return plan;
}

void RecordPeerRequest(ConfigurationState& state, Instant now) noexcept {
  state.last_peer_request_ = now;
  ++state.peer_request_count_;
}

}  // namespace clementinerill
