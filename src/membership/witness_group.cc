#include "membership/witness_group.h"

#include <algorithm>

#include "base/hash.h"
#include "base/rendezvous.h"

namespace clementinerill {

std::vector<WitnessGroup> MakeWitnessGroups(
    const std::vector<std::string>& listed,
    const std::vector<GroupPool>& pools) {
  if (listed.size() <= static_cast<size_t>(kMaxGroupSize)) {
    WitnessGroup group{"all", listed, pools};
    std::sort(group.members_.begin(), group.members_.end());
    return {std::move(group)};
  }
  std::vector<WitnessGroup> groups;
  for (const GroupPool& pool : pools) {
    std::vector<std::string> members = RankByRendezvous(pool.name_, listed);
    members.resize(kMaxGroupSize);
    std::sort(members.begin(), members.end());
    groups.push_back({pool.name_, std::move(members), {pool}});
  }
  return groups;
}

int IndexOf(const WitnessGroup& group, std::string_view name) noexcept {
  const auto& members = group.members_;
  const auto it = std::lower_bound(members.begin(), members.end(), name);
  if (it == members.end() || *it != name) {
    return -1;
  }
  return static_cast<int>(it - members.begin());
}

int MajorityOf(const WitnessGroup& group) noexcept {
  return static_cast<int>(group.members_.size()) / 2 + 1;
}

uint32_t DigestOf(const WitnessGroup& group) {
  uint64_t digest = Hash64(group.name_);
  for (const std::string& member : group.members_) {
    digest = Hash64(member, digest);
  }
  for (const GroupPool& pool : group.pools_) {
    digest = Hash64(pool.name_, digest + static_cast<uint64_t>(pool.seats_));
  }
  return static_cast<uint32_t>(digest);
}

}  // namespace clementinerill
