#ifndef CLEMENTINERILL_CONTROL_STORE_ACCESS_STATE_H_
#define CLEMENTINERILL_CONTROL_STORE_ACCESS_STATE_H_

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace clementinerill {

/// @brief Results of the calls of one daemon to the store.
struct StoreAccessState {
  std::optional<Instant> last_attempt_;
  std::optional<Instant> last_response_;  ///< Including "no such object".
  std::optional<Instant> failing_since_;  ///< First failure since a response.
  int consecutive_failures_ = 0;
  /// The last response was "no such object".
  bool configuration_absent_ = false;
  /// Version in the last response with a document; 0 if the object is absent.
  uint64_t version_ = 0;
  /// The last response had a version below the one in force at that time.
  bool behind_ = false;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONTROL_STORE_ACCESS_STATE_H_
