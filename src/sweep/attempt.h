#ifndef CLEMENTINERILL_SWEEP_ATTEMPT_H_
#define CLEMENTINERILL_SWEEP_ATTEMPT_H_

#include <string>

#include "base/time.h"
#include "sweep/attempt_kind.h"
#include "sweep/attempt_result.h"

namespace clementinerill {

/// @brief One request to one upstream for one part of a query.
struct Attempt {
  AttemptKind kind_ = AttemptKind::kPrimary;
  std::string upstream_;
  Instant started_;
  Instant ended_;  ///< Valid once `result_` is not `kRunning`.
  AttemptResult result_ = AttemptResult::kRunning;
  bool cancel_requested_ = false;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SWEEP_ATTEMPT_H_
