#ifndef CLEMENTINERILL_CONTROL_STORE_ACCESS_STATE_H_
#define CLEMENTINERILL_CONTROL_STORE_ACCESS_STATE_H_

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace clementinerill {

/// @brief What a daemon knows from its own calls to the store.
struct StoreAccessState {
  std::optional<Instant> last_attempt_;
  std::optional<Instant> last_response_;  ///< Any answer, including "absent".
  std::optional<Instant> failing_since_;  ///< First failure since an answer.
  int consecutive_failures_ = 0;
  bool configuration_absent_ =
      false;              ///< The last answer was "no such object".
  uint64_t version_ = 0;  ///< Version in the last answer that had one.
  /// The last answer had a version below the one in force at that time.
  bool behind_ = false;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONTROL_STORE_ACCESS_STATE_H_
