#ifndef CLEMENTINERILL_UPSTREAM_EXCHANGE_RESULT_H_
#define CLEMENTINERILL_UPSTREAM_EXCHANGE_RESULT_H_

#include <optional>
#include <string>
#include <vector>

#include "sweep/attempt_result.h"
#include "sweep/part_answer.h"
#include "sweep/snapshot.h"

namespace clementinerill {

/// @brief State that an upstream reports in its response headers.
struct UpstreamSignals {
  std::string process_id_;
  std::optional<int> load_;        ///< Requests in progress, from `X-Load`.
  std::optional<int> cold_limit_;  ///< From `X-Cold`; absent once warmed up.
  std::optional<std::vector<Snapshot>> offers_;
};

/// @brief The result of one exchange.
struct ExchangeResult {
  AttemptResult result_ = AttemptResult::kNotSent;
  std::optional<PartAnswer> answer_;
  std::optional<UpstreamSignals> signals_;  ///< Absent without a response.
  /// The connection was condemned as silent. This is a connection failure and
  /// does not count against the replica.
  bool connection_silent_ = false;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_UPSTREAM_EXCHANGE_RESULT_H_
