#ifndef CLEMENTINERILL_LOGGING_LOG_THRESHOLD_H_
#define CLEMENTINERILL_LOGGING_LOG_THRESHOLD_H_

#include <atomic>

#include "base/log_level.h"

namespace clementinerill {

/// @brief Returns the lowest level that is written.
///
/// A relaxed load of an atomic rejects a line at a lower cost than a Boost.Log
/// filter, which takes a shared lock.
[[nodiscard]] std::atomic<LogLevel>& LogThreshold() noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LOGGING_LOG_THRESHOLD_H_
