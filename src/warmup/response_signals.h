#ifndef CLEMENTINERILL_WARMUP_RESPONSE_SIGNALS_H_
#define CLEMENTINERILL_WARMUP_RESPONSE_SIGNALS_H_

#include <optional>
#include <string>

#include "base/time.h"
#include "warmup/request_outcome.h"

namespace clementinerill {

/// @brief Signals about the state of a replica from one finished request.
struct ResponseSignals {
  RequestOutcome outcome_ = RequestOutcome::kOther;
  std::string process_id_;         ///< `X-Process-Id`; empty if unknown.
  std::optional<int> cold_limit_;  ///< `X-Cold`; absent if warm.
  Duration latency_{};             ///< From dispatch to the complete response.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_WARMUP_RESPONSE_SIGNALS_H_
