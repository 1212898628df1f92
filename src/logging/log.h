#ifndef CLEMENTINERILL_LOGGING_LOG_H_
#define CLEMENTINERILL_LOGGING_LOG_H_

#include <mutex>
#include <string_view>

#include "base/log_level.h"
#include "base/time.h"
#include "logging/log_field.h"
#include "logging/rate_limit.h"

namespace clementinerill {

/// @brief Returns whether lines of this level are written. Check it before
/// computing expensive fields.
[[nodiscard]] bool IsLogged(LogLevel level) noexcept;

/// @brief Writes one line to the output that `StartLogging` has set up; it must
/// have been called. Thread-safe.
///
/// `component` is the fixed prefix without the colon. `message` is a short
/// sentence without a final full stop.
///
/// Example: `Log(LogLevel::kInfo, "peer", "link opened", {{"peer", name}})`.
void Log(LogLevel level,
         std::string_view component,
         std::string_view message,
         const LogFields& fields = {});

/// @brief Limits the rate of log lines from one call site on a hot path.
/// Thread-safe.
///
/// Define it as a static variable next to the call.
class RateLimitedLogger {
 public:
  explicit RateLimitedLogger(LogRateLimit limit = {}) noexcept
      : limit_(limit) {}

  /// @brief Like the free function `Log`, but subject to the rate limit. The
  /// first line after suppressed ones carries their number in the field
  /// `suppressed`.
  void Log(Instant now,
           LogLevel level,
           std::string_view component,
           std::string_view message,
           const LogFields& fields = {});

  /// @brief Writes the number of suppressed lines, if there are any and the
  /// period has ended. To be called periodically.
  void ReportSuppressed(Instant now, std::string_view component);

 private:
  const LogRateLimit limit_;
  std::mutex mutex_;
  LogRateState state_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LOGGING_LOG_H_
