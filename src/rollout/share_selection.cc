#include "rollout/share_selection.h"

#include <cstdint>

#include "base/hash.h"

namespace clementinerill {

int LocalShare(const RolloutState& state, bool stopped) noexcept {
  const bool ended = state.status_ == RolloutStatus::kRolledBack;
  return stopped || ended ? 0 : state.share_;
}

bool SelectsNewVersion(std::string_view rollout_id,
                       std::string_view request_id,
                       int share) noexcept {
  const uint64_t hash = Hash64(request_id, Hash64(rollout_id));
  return static_cast<int>(hash % 10000) < share;
}

}  // namespace clementinerill
