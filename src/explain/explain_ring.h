#ifndef CLEMENTINERILL_EXPLAIN_EXPLAIN_RING_H_
#define CLEMENTINERILL_EXPLAIN_EXPLAIN_RING_H_

#include <cstddef>
#include <deque>
#include <string_view>
#include <vector>

#include "explain/explained_query.h"

namespace clementinerill {

/// @brief Buffer of the newest records, bounded by their size in bytes.
///
/// Not thread-safe; see `ExplainLog`.
class ExplainRing {
 public:
  explicit ExplainRing(size_t max_bytes) noexcept : max_bytes_(max_bytes) {}

  /// @brief Adds a record and evicts the oldest ones to make room for it.
  ///
  /// A record larger than the ring is stored without its parts. If it is still
  /// too large, returns false and evicts nothing.
  bool Add(ExplainedQuery query);

  /// @brief Appends the records with this request id, newest first.
  void Find(std::string_view request_id,
            std::vector<const ExplainedQuery*>& found) const;

  /// @brief Appends the newest `count` records, newest first.
  void Newest(size_t count, std::vector<const ExplainedQuery*>& found) const;

  [[nodiscard]] size_t Bytes() const noexcept { return bytes_; }
  [[nodiscard]] size_t Size() const noexcept { return records_.size(); }

 private:
  size_t max_bytes_;
  size_t bytes_ = 0;
  std::deque<ExplainedQuery> records_;  ///< Oldest first.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_EXPLAIN_EXPLAIN_RING_H_
