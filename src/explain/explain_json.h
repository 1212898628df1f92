#ifndef CLEMENTINERILL_EXPLAIN_EXPLAIN_JSON_H_
#define CLEMENTINERILL_EXPLAIN_EXPLAIN_JSON_H_

#include <string>
#include <vector>

#include "base/time.h"
#include "explain/explained_query.h"

namespace clementinerill {

/// @brief Whether the parts and attempts are written.
enum class ExplainDetail {
  kSummary,
  kFull,
};

/// @brief Writes records as a JSON array.
///
/// Times are in whole microseconds; `age_us` is the time from entry to `now`,
/// because the monotonic clock means nothing outside the process. Bytes that
/// are not UTF-8, which a caller may put into a request id, are replaced.
[[nodiscard]] std::string ToJsonText(
    const std::vector<const ExplainedQuery*>& queries,
    Instant now,
    ExplainDetail detail);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_EXPLAIN_EXPLAIN_JSON_H_
