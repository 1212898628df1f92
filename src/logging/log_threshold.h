#ifndef CLEMENTINERILL_LOGGING_LOG_THRESHOLD_H_
#define CLEMENTINERILL_LOGGING_LOG_THRESHOLD_H_

#include <atomic>

#include "base/log_level.h"

namespace clementinerill {

/// @brief The lowest level that is written. A relaxed atomic keeps a suppressed
/// line cheaper than a filter of Boost.Log, which takes a shared lock.
[[nodiscard]] std::atomic<LogLevel>& LogThreshold() noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LOGGING_LOG_THRESHOLD_H_
