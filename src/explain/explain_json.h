#ifndef CLEMENTINERILL_EXPLAIN_EXPLAIN_JSON_H_
#define CLEMENTINERILL_EXPLAIN_EXPLAIN_JSON_H_

#include <string>
#include <vector>

#include "base/time.h"
#include "explain/explained_query.h"

namespace clementinerill {

/// @brief Whether the output includes parts and attempts.
enum class ExplainDetail {
  kSummary,
  kFull,
};

/// @brief Formats records as a JSON array.
///
/// Times are in whole microseconds. The time of receipt is given as `age_us`,
/// relative to `now`, because monotonic clock values have no meaning outside
/// the process. Invalid UTF-8, which can occur in request ids chosen by
/// callers, is replaced.
[[nodiscard]] std::string ToJsonText(
    const std::vector<const ExplainedQuery*>& queries,
    Instant now,
    ExplainDetail detail);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_EXPLAIN_EXPLAIN_JSON_H_
