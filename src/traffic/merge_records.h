#ifndef CLEMENTINERILL_TRAFFIC_MERGE_RECORDS_H_
#define CLEMENTINERILL_TRAFFIC_MERGE_RECORDS_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace clementinerill::traffic {

/// @brief Size of one record in the response body of a part.
inline constexpr size_t kRecordBytes = 16;

/// @brief Returns the `limit` greatest records of all `bodies`, in descending
/// order.
///
/// Records are compared byte by byte as unsigned values; duplicates are kept.
/// An incomplete record at the end of a body is ignored.
[[nodiscard]] std::string MergeRecords(
    const std::vector<std::string_view>& bodies,
    size_t limit);

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_MERGE_RECORDS_H_
