#ifndef CLEMENTINERILL_TRAFFIC_MERGE_RECORDS_H_
#define CLEMENTINERILL_TRAFFIC_MERGE_RECORDS_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace clementinerill::traffic {

/// @brief Bytes of one record in the body of a part.
inline constexpr size_t kRecordBytes = 16;

/// @brief The greatest `limit` records of all `bodies`, greatest first.
///
/// Records are compared byte by byte as unsigned values; equal ones all count.
/// A remainder of a body shorter than a record is left out.
[[nodiscard]] std::string MergeRecords(
    const std::vector<std::string_view>& bodies,
    size_t limit);

}  // namespace clementinerill::traffic

#endif  // CLEMENTINERILL_TRAFFIC_MERGE_RECORDS_H_
