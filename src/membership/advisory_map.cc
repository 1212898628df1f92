#include "membership/advisory_map.h"

#include "base/hash.h"

namespace clementinerill {
namespace {

bool Supersedes(const Advisory& candidate, const Advisory& entry) {
  if (candidate.generation_ != entry.generation_) {
    return candidate.generation_ > entry.generation_;
  }
  return candidate.active_ && !entry.active_;
}

uint64_t HashOf(const Advisory& advisory) {
  const uint64_t state = advisory.generation_ * 2 + (advisory.active_ ? 1 : 0);
  const uint64_t kind = Hash64(NameOf(kAdvisoryKindNames, advisory.kind_));
  return Hash64(advisory.subject_, kind ^ (state * 0x9e3779b97f4a7c15ULL));
}

}  // namespace

bool MergeAdvisory(AdvisoryMap& map, const Advisory& advisory) {
  const auto key = std::make_pair(advisory.kind_, advisory.subject_);
  const auto [it, inserted] = map.entries_.emplace(key, advisory);
  if (inserted) {
    return true;
  }
  if (!Supersedes(advisory, it->second)) {
    return false;
  }
  it->second = advisory;
  return true;
}

std::vector<Advisory> MergeAdvisories(AdvisoryMap& map,
                                      const std::vector<Advisory>& advisories) {
  std::vector<Advisory> changed;
  for (const Advisory& advisory : advisories) {
    if (MergeAdvisory(map, advisory)) {
      changed.push_back(advisory);
    }
  }
  return changed;
}

bool IsActive(const AdvisoryMap& map,
              AdvisoryKind kind,
              const std::string& subject) {
  const auto it = map.entries_.find(std::make_pair(kind, subject));
  return it != map.entries_.end() && it->second.active_;
}

uint32_t DigestOf(const AdvisoryMap& map) {
  uint64_t digest = 0;
  for (const auto& [key, advisory] : map.entries_) {
    digest += HashOf(advisory);
  }
  return static_cast<uint32_t>(digest ^ (digest >> 32));
}

std::vector<Advisory> AdvisoriesToSend(const AdvisoryMap& map,
                                       uint32_t peer_digest) {
  std::vector<Advisory> advisories;
  if (DigestOf(map) == peer_digest) {
    return advisories;
  }
  for (const auto& [key, advisory] : map.entries_) {
    advisories.push_back(advisory);
  }
  return advisories;
}

}  // namespace clementinerill
