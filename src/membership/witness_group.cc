#include "membership/witness_group.h"

#include <algorithm>
#include <map>
#include <utility>

#include "base/hash.h"
#include "base/rendezvous.h"

namespace clementinerill {

namespace {

// Prefers members in the fewest groups so far, then the best-ranked ones.
std::vector<std::string> ChooseMembers(
    const GroupPool& pool,
    const std::vector<std::string>& listed,
    std::map<std::string, int>& group_counts) {
  std::vector<std::string> ranked = RankByRendezvous(pool.name_, listed);
  std::stable_sort(ranked.begin(), ranked.end(),
                   [&group_counts](const auto& a, const auto& b) {
                     return group_counts[a] < group_counts[b];
                   });
  ranked.resize(kMaxGroupSize);
  for (const std::string& member : ranked) {
    ++group_counts[member];
  }
  std::sort(ranked.begin(), ranked.end());
  return ranked;
}

}  // namespace

std::vector<WitnessGroup> MakeWitnessGroups(
    const std::vector<std::string>& listed,
    const std::vector<GroupPool>& pools) {
  if (listed.size() <= static_cast<size_t>(kMaxGroupSize)) {
    WitnessGroup group{"all", listed, pools};
    std::sort(group.members_.begin(), group.members_.end());
    return {std::move(group)};
  }
  std::map<std::string, int> group_counts;
  std::vector<WitnessGroup> groups;
  groups.reserve(pools.size());
  for (const GroupPool& pool : pools) {
    groups.push_back(
        {pool.name_, ChooseMembers(pool, listed, group_counts), {pool}});
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
