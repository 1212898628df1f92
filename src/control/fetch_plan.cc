#include "control/fetch_plan.h"

#include <algorithm>
#include <utility>

#include "base/rendezvous.h"
#include "control/apply_if_newer.h"
#include "control/store_schedule.h"

namespace clementinerill {
namespace {

// Chooses one of the peers that report the highest version above
// `WatchVersion`. Rendezvous hashing by daemon name spreads the daemons that
// request the same version over these peers; each retry moves to the next peer.
std::optional<std::string> ChoosePeer(const ConfigurationState& state,
                                      const std::vector<PeerVersion>& peers) {
  uint64_t highest = WatchVersion(state);
  std::vector<std::string> candidates;
  for (const PeerVersion& peer : peers) {
    if (peer.version_ > highest) {
      highest = peer.version_;
      candidates.clear();
    }
    if (peer.version_ == highest && highest > WatchVersion(state)) {
      candidates.push_back(peer.peer_);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  const auto ranked = RankByRendezvous(state.daemon_, std::move(candidates));
  const auto attempts = static_cast<size_t>(state.peer_request_count_);
  return ranked[attempts % ranked.size()];
}

}  // namespace

FetchPlan PlanFetch(const ConfigurationState& state,
                    const std::vector<PeerVersion>& peers,
                    StoreRole role,
                    Instant now) {
  FetchPlan plan;
  plan.store_due_ = NextStoreCall(state, role) <= now;
  const bool is_request_pending =
      state.last_peer_request_ &&
      now < *state.last_peer_request_ + kPeerRequestTimeout;
  if (!is_request_pending) {
    plan.peer_ = ChoosePeer(state, peers);
  }
  return plan;
}

void RecordPeerRequest(ConfigurationState& state, Instant now) noexcept {
  state.last_peer_request_ = now;
  ++state.peer_request_count_;
}

}  // namespace clementinerill
