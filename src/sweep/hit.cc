#include "sweep/hit.h"

#include <algorithm>
#include <unordered_set>

namespace clementinerill {

std::vector<Hit> MergeHits(const std::vector<const std::vector<Hit>*>& lists,
                           size_t max_hits) {
  std::vector<const Hit*> all;
  for (const std::vector<Hit>* list : lists) {
    for (const Hit& hit : *list) {
      all.push_back(&hit);
    }
  }
  std::sort(all.begin(), all.end(), [](const Hit* a, const Hit* b) {
    return a->score_ != b->score_ ? a->score_ > b->score_ : a->id_ < b->id_;
  });
  std::vector<Hit> merged;
  std::unordered_set<std::string> seen;
  for (const Hit* hit : all) {
    if (merged.size() == max_hits) {
      break;
    }
    if (seen.insert(hit->id_).second) {
      merged.push_back(*hit);
    }
  }
  return merged;
}

}  // namespace clementinerill
