#include "explain/explain_log.h"

#include <algorithm>
#include <utility>

namespace clementinerill {

ExplainLog::ExplainLog(const ExplainLimits& limits)
    : slow_threshold_(limits.slow_threshold_),
      ordinary_(limits.ordinary_bytes_),
      notable_(limits.notable_bytes_) {}

void ExplainLog::Add(ExplainedQuery query) {
  const bool is_notable =
      query.outcome_ != kCompleteOutcome || query.duration_ >= slow_threshold_;
  ExplainRing& ring = is_notable ? notable_ : ordinary_;
  if (!ring.Add(std::move(query))) {
    ++dropped_;
  }
}

std::vector<const ExplainedQuery*> ExplainLog::Find(
    std::string_view request_id) const {
  std::vector<const ExplainedQuery*> found;
  ordinary_.Find(request_id, found);
  notable_.Find(request_id, found);
  std::stable_sort(found.begin(), found.end(),
                   [](const ExplainedQuery* a, const ExplainedQuery* b) {
                     return a->received_ > b->received_;
                   });
  return found;
}

std::vector<const ExplainedQuery*> ExplainLog::NewestNotable(
    size_t count) const {
  std::vector<const ExplainedQuery*> found;
  notable_.Newest(count, found);
  return found;
}

size_t ExplainLog::Bytes() const noexcept {
  return ordinary_.Bytes() + notable_.Bytes();
}

}  // namespace clementinerill
