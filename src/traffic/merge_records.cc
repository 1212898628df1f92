#include "traffic/merge_records.h"

#include <algorithm>
#include <functional>

namespace clementinerill::traffic {

std::string MergeRecords(const std::vector<std::string_view>& bodies,
                         size_t limit) {
  std::vector<std::string_view> records;
  for (const std::string_view body : bodies) {
    for (size_t at = 0; at + kRecordBytes <= body.size(); at += kRecordBytes) {
      records.push_back(body.substr(at, kRecordBytes));
    }
  }
  const size_t kept = std::min(limit, records.size());
  // std::string_view compares characters as unsigned values.
  std::partial_sort(records.begin(),
                    records.begin() + static_cast<std::ptrdiff_t>(kept),
                    records.end(), std::greater<>());
  std::string merged;
  merged.reserve(kept * kRecordBytes);
  for (size_t i = 0; i < kept; ++i) {
    merged.append(records[i]);
  }
  return merged;
}

}  // namespace clementinerill::traffic
