#ifndef CLEMENTINERILL_BASE_CALLER_LIMITS_H_
#define CLEMENTINERILL_BASE_CALLER_LIMITS_H_

#include <chrono>
#include <cstdint>

#include "base/time.h"

namespace clementinerill {

/// @brief What a caller may send and how long its connection may be idle.
///
/// The defaults hold until the first configuration is known.
struct CallerLimits {
  uint32_t max_header_bytes_ = 16 * 1024;
  uint64_t max_body_bytes_ = 1024 * 1024;
  Duration header_timeout_ = std::chrono::seconds(10);
  Duration idle_timeout_ = std::chrono::seconds(60);
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_BASE_CALLER_LIMITS_H_
