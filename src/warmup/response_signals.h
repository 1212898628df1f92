#ifndef CLEMENTINERILL_WARMUP_RESPONSE_SIGNALS_H_
#define CLEMENTINERILL_WARMUP_RESPONSE_SIGNALS_H_

#include <optional>
#include <string>

#include "base/time.h"
#include "warmup/request_outcome.h"

namespace clementinerill {

/// @brief The warm-up signals of one finished exchange.
struct ResponseSignals {
  RequestOutcome outcome_ = RequestOutcome::kOther;
  std::string process_id_;         ///< `X-Process-Id`; empty when unknown.
  std::optional<int> cold_limit_;  ///< `X-Cold`; absent when warm.
  Duration latency_{};             ///< From dispatch to the whole answer.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_WARMUP_RESPONSE_SIGNALS_H_
