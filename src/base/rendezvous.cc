#include "base/rendezvous.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace clementinerill {

std::vector<std::string> RankByRendezvous(std::string_view key,
                                          std::vector<std::string> members) {
  const uint64_t key_hash = Hash64(key);
  std::vector<std::pair<uint64_t, std::string>> scored;
  scored.reserve(members.size());
  for (auto& member : members) {
    const uint64_t score = Hash64(member, key_hash);
    scored.emplace_back(score, std::move(member));
  }
  std::sort(scored.begin(), scored.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : a.second < b.second;
  });
  std::vector<std::string> ranked;
  ranked.reserve(scored.size());
  for (auto& [score, member] : scored) {
    ranked.push_back(std::move(member));
  }
  return ranked;
}

std::optional<size_t> RendezvousRank(std::string_view key,
                                     std::string_view member,
                                     const std::vector<std::string>& members) {
  const uint64_t key_hash = Hash64(key);
  const uint64_t own = Hash64(member, key_hash);
  size_t rank = 0;
  bool is_member = false;
  for (const std::string& other : members) {
    const uint64_t score = Hash64(other, key_hash);
    is_member = is_member || other == member;
    rank += score > own || (score == own && other < member) ? 1 : 0;
  }
  return is_member ? std::optional(rank) : std::nullopt;
}

}  // namespace clementinerill
