#ifndef CLEMENTINERILL_WARMUP_ANSWER_SIGNALS_H_
#define CLEMENTINERILL_WARMUP_ANSWER_SIGNALS_H_

#include <optional>
#include <string>

#include "base/time.h"
#include "warmup/answer_kind.h"

namespace clementinerill {

/// @brief The warm-up signals of one finished exchange.
struct AnswerSignals {
  AnswerKind kind_ = AnswerKind::kOther;
  std::string process_id_;         ///< `X-Process-Id`; empty when unknown.
  std::optional<int> cold_limit_;  ///< `X-Cold`; absent when warm.
  Duration latency_{};             ///< From dispatch to the whole answer.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_WARMUP_ANSWER_SIGNALS_H_
