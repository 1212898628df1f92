#ifndef CLEMENTINERILL_SWEEP_HIT_H_
#define CLEMENTINERILL_SWEEP_HIT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace clementinerill {

/// @brief One match: a document and its score, higher is better.
struct Hit {
  std::string id_;
  uint64_t score_ = 0;

  friend bool operator==(const Hit& a, const Hit& b) noexcept {
    return a.id_ == b.id_ && a.score_ == b.score_;
  }
};

/// @brief The best `top` hits of all lists, best first.
///
/// Ties are ordered by id. An id that occurs twice is kept once.
[[nodiscard]] std::vector<Hit> MergeHits(
    const std::vector<const std::vector<Hit>*>& lists,
    size_t top);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SWEEP_HIT_H_
