#ifndef CLEMENTINERILL_UPSTREAM_EXCHANGE_RESULT_H_
#define CLEMENTINERILL_UPSTREAM_EXCHANGE_RESULT_H_

#include <optional>
#include <string>
#include <vector>

#include "sweep/attempt_result.h"
#include "sweep/part_answer.h"
#include "sweep/snapshot.h"

namespace clementinerill {

/// @brief What an upstream says about itself in the headers of an answer.
struct UpstreamSignals {
  std::string process_id_;
  std::optional<int> load_;        ///< Requests running, from `X-Load`.
  std::optional<int> cold_limit_;  ///< From `X-Cold`; absent when warm.
  std::optional<std::vector<Snapshot>> offers_;
};

/// @brief The end of one exchange.
struct ExchangeResult {
  AttemptResult result_ = AttemptResult::kNotSent;
  std::optional<PartAnswer> answer_;
  std::optional<UpstreamSignals> signals_;  ///< Absent without an answer.
  /// The connection was condemned as silent; the replica is not to blame.
  bool connection_silent_ = false;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_UPSTREAM_EXCHANGE_RESULT_H_
