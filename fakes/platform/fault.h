#ifndef CLEMENTINERILL_FAKES_PLATFORM_FAULT_H_
#define CLEMENTINERILL_FAKES_PLATFORM_FAULT_H_

#include <chrono>

#include "fakes/platform/fault_mode.h"

namespace clementinerill {

/// @brief The fault injected into the fake platform by `POST /fault`.
struct Fault {
  FaultMode mode_ = FaultMode::kNone;
  std::chrono::milliseconds delay_{0};  ///< Added latency for `kSlow`.
  bool close_ = false;  ///< `kDown` closes connections instead of sending 503.
  int count_ = 0;       ///< Calls affected before `kNone`; 0: no limit.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_FAKES_PLATFORM_FAULT_H_
