#ifndef CLEMENTINERILL_BASE_CALLER_LIMITS_H_
#define CLEMENTINERILL_BASE_CALLER_LIMITS_H_

#include <chrono>
#include <cstdint>

#include "base/time.h"

namespace clementinerill {

/// @brief Limits on the size of requests and on the time that a caller's
/// connection may take to send a header or be idle.
///
/// The defaults apply until the first configuration has been received.
struct CallerLimits {
  uint32_t max_header_bytes_ = 16 * 1024;
  uint64_t max_body_bytes_ = 1024 * 1024;
  Duration header_timeout_ = std::chrono::seconds(10);
  Duration idle_timeout_ = std::chrono::seconds(60);
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_BASE_CALLER_LIMITS_H_
