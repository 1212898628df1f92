#ifndef CLEMENTINERILL_FAKES_PLATFORM_CALL_COUNTS_H_
#define CLEMENTINERILL_FAKES_PLATFORM_CALL_COUNTS_H_

#include <cstdint>

namespace clementinerill {

/// @brief Numbers of calls received, as reported by `GET /stats`.
///
/// `calls_` is the sum of the other counters. A watch counts once
/// regardless of its duration. Calls that fail because of an injected fault are
/// counted; control calls are not.
struct CallCounts {
  uint64_t calls_ = 0;
  uint64_t gets_ = 0;
  uint64_t puts_ = 0;
  uint64_t watches_ = 0;
  uint64_t vm_lists_ = 0;
  uint64_t peak_calls_per_second_ = 0;  ///< Highest count in one second.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_FAKES_PLATFORM_CALL_COUNTS_H_
