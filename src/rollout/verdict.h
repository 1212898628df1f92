#ifndef CLEMENTINERILL_ROLLOUT_VERDICT_H_
#define CLEMENTINERILL_ROLLOUT_VERDICT_H_

#include <cstdint>
#include <string>

#include "rollout/stop_reason.h"
#include "rollout/verdict_kind.h"

namespace clementinerill {

/// @brief Result of one comparison, valid for one generation of the rollout.
struct Verdict {
  VerdictKind kind_ = VerdictKind::kHold;
  StopReason reason_ = StopReason::kNone;
  std::string route_;        ///< Route that caused a hold or stop; else empty.
  uint64_t generation_ = 0;  ///< Generation of the state that was judged.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ROLLOUT_VERDICT_H_
