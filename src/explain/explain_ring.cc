#include "explain/explain_ring.h"

#include <utility>

namespace clementinerill {

bool ExplainRing::Add(ExplainedQuery query) {
  if (BytesOf(query) > max_bytes_) {
    query.parts_omitted_ = true;
    std::vector<ExplainedPart>().swap(query.parts_);
  }
  const size_t added = BytesOf(query);
  if (added > max_bytes_) {
    return false;
  }
  while (bytes_ + added > max_bytes_) {
    bytes_ -= BytesOf(records_.front());
    records_.pop_front();
  }
  records_.push_back(std::move(query));
  bytes_ += added;
  return true;
}

void ExplainRing::Find(std::string_view request_id,
                       std::vector<const ExplainedQuery*>& found) const {
  for (auto record = records_.rbegin(); record != records_.rend(); ++record) {
    if (record->request_id_ == request_id) {
      found.push_back(&*record);
    }
  }
}

void ExplainRing::Newest(size_t count,
                         std::vector<const ExplainedQuery*>& found) const {
  for (auto record = records_.rbegin(); record != records_.rend() && count > 0;
       ++record, --count) {
    found.push_back(&*record);
  }
}

}  // namespace clementinerill
