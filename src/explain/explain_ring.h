#ifndef CLEMENTINERILL_EXPLAIN_EXPLAIN_RING_H_
#define CLEMENTINERILL_EXPLAIN_EXPLAIN_RING_H_

#include <cstddef>
#include <deque>
#include <string_view>
#include <vector>

#include "explain/explained_query.h"

namespace clementinerill {

/// @brief The newest records that fit into a number of bytes.
///
/// Not synchronised; see `ExplainLog`.
class ExplainRing {
 public:
  explicit ExplainRing(size_t most_bytes) noexcept : most_bytes_(most_bytes) {}

  /// @brief Adds a record and evicts the oldest ones that no longer fit.
  ///
  /// A record that is larger than the ring is stored without its parts; false
  /// when it does not fit even so, and then nothing is evicted.
  bool Add(ExplainedQuery query);

  /// @brief Appends the records with this request id, newest first.
  void Find(std::string_view request_id,
            std::vector<const ExplainedQuery*>& found) const;

  /// @brief Appends the newest `count` records, newest first.
  void Newest(size_t count, std::vector<const ExplainedQuery*>& found) const;

  [[nodiscard]] size_t Bytes() const noexcept { return bytes_; }
  [[nodiscard]] size_t Size() const noexcept { return records_.size(); }

 private:
  size_t most_bytes_;
  size_t bytes_ = 0;
  std::deque<ExplainedQuery> records_;  ///< Oldest first.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_EXPLAIN_EXPLAIN_RING_H_
