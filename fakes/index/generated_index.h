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

/// @brief Documents of the index; every process computes the same ones.
inline constexpr uint64_t kDocuments = 10'000;

/// @brief The key of a document, from 0 to 2^32 - 1.
[[nodiscard]] uint64_t KeyOfDocument(uint64_t document) noexcept;

/// @brief The range of one of `services` equal partitions.
[[nodiscard]] KeyRange RangeOfPartition(uint64_t partition,
                                        uint64_t services) noexcept;

/// @brief All documents whose keys lie in the range.
[[nodiscard]] std::vector<Document> DocumentsInRange(const KeyRange& range);

/// @brief The best documents for a query.
///
/// Scores depend on the index version, so that a mixture of two versions
/// differs from the answer of either.
[[nodiscard]] std::vector<Hit> SearchDocuments(
    const std::vector<Document>& documents,
    uint64_t index_version,
    const std::string& query,
    size_t top);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_FAKES_INDEX_GENERATED_INDEX_H_
