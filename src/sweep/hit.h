#ifndef CLEMENTINERILL_SWEEP_HIT_H_
#define CLEMENTINERILL_SWEEP_HIT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace clementinerill {

/// @brief A matching document and its score; higher scores rank first.
struct Hit {
  std::string id_;
  uint64_t score_ = 0;

  friend bool operator==(const Hit& a, const Hit& b) noexcept {
    return a.id_ == b.id_ && a.score_ == b.score_;
  }
};

/// @brief Merges the lists into at most `max_hits` hits, best first.
///
/// Equal scores are ordered by id. Of hits with the same id, only the one with
/// the highest score is kept.
[[nodiscard]] std::vector<Hit> MergeHits(
    const std::vector<const std::vector<Hit>*>& lists,
    size_t max_hits);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SWEEP_HIT_H_
