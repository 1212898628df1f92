#ifndef CLEMENTINERILL_FAKES_INDEX_GENERATED_INDEX_H_
#define CLEMENTINERILL_FAKES_INDEX_GENERATED_INDEX_H_

#include <cstdint>
#include <string>
#include <vector>

#include "sweep/hit.h"
#include "sweep/key_range.h"

namespace clementinerill {

/// @brief One document of the generated index.
struct Document {
  uint64_t id_ = 0;
  uint64_t key_ = 0;
};

/// @brief Number of documents. Their keys are hashes of their numbers, so that
/// every process generates the same index.
inline constexpr uint64_t kDocuments = 10'000;

/// @brief The key of a document, in [0, 2^32).
[[nodiscard]] uint64_t KeyOfDocument(uint64_t document) noexcept;

/// @brief The key range of one of `partitions` equal partitions.
[[nodiscard]] KeyRange RangeOfPartition(uint64_t partition,
                                        uint64_t partitions) noexcept;

/// @brief All documents with a key in `range`.
[[nodiscard]] std::vector<Document> DocumentsInRange(const KeyRange& range);

/// @brief The `top` documents with the highest scores for a query.
///
/// Scores depend on the index version, so that hits merged from two versions
/// differ from the hits of either version.
[[nodiscard]] std::vector<Hit> SearchDocuments(
    const std::vector<Document>& documents,
    uint64_t index_version,
    const std::string& query,
    size_t top);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_FAKES_INDEX_GENERATED_INDEX_H_
