#include "fakes/index/generated_index.h"

#include <algorithm>

#include "base/hash.h"

namespace clementinerill {
namespace {

constexpr uint64_t kScoreRange = uint64_t{1} << 52;

}  // namespace

uint64_t KeyOfDocument(uint64_t document) noexcept {
  return Hash64({reinterpret_cast<const char*>(&document), sizeof(document)}) %
         kKeySpaceEnd;
}

KeyRange RangeOfPartition(uint64_t partition, uint64_t partitions) noexcept {
  return {kKeySpaceEnd * partition / partitions,
          kKeySpaceEnd * (partition + 1) / partitions};
}

std::vector<Document> DocumentsInRange(const KeyRange& range) {
  std::vector<Document> documents;
  for (uint64_t id = 0; id < kDocuments; ++id) {
    const uint64_t key = KeyOfDocument(id);
    if (key >= range.begin_ && key < range.end_) {
      documents.push_back(Document{id, key});
    }
  }
  return documents;
}

std::vector<Hit> SearchDocuments(const std::vector<Document>& documents,
                                 uint64_t index_version,
                                 const std::string& query,
                                 size_t top) {
  const uint64_t seed = Hash64(query, index_version);
  std::vector<std::pair<uint64_t, uint64_t>> scored;
  scored.reserve(documents.size());
  for (const Document& document : documents) {
    const auto* bytes = reinterpret_cast<const char*>(&document.key_);
    const uint64_t score =
        Hash64({bytes, sizeof(document.key_)}, seed) % kScoreRange;
    scored.emplace_back(score, document.id_);
  }
  const size_t count = std::min(top, scored.size());
  std::partial_sort(scored.begin(),
                    scored.begin() + static_cast<std::ptrdiff_t>(count),
                    scored.end(), std::greater<>());
  std::vector<Hit> hits;
  for (size_t i = 0; i < count; ++i) {
    hits.push_back(Hit{std::to_string(scored[i].second), scored[i].first});
  }
  return hits;
}

}  // namespace clementinerill
