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

}  // namespace clementinerill
