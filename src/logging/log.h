#ifndef CLEMENTINERILL_LOGGING_LOG_H_
#define CLEMENTINERILL_LOGGING_LOG_H_

#include <mutex>
#include <string_view>

#include "base/log_level.h"
#include "base/time.h"
#include "logging/log_field.h"
#include "logging/rate_limit.h"

namespace clementinerill {

/// @brief Whether lines of this level are written; check before preparing
/// costly fields.
[[nodiscard]] bool IsLogged(LogLevel level) noexcept;

/// @brief Writes one line to standard error; safe from any thread.
///
/// `part` is the fixed prefix without the colon; `sentence` is short and has no
/// final full stop. `StartLogging` must have been called.
///
/// Example: `Log(LogLevel::kInfo, "peer", "link opened", {{"peer", name}})`.
void Log(LogLevel level,
         std::string_view part,
         std::string_view sentence,
         const LogFields& fields = {});

/// @brief The rate limit of one call site on a hot path; safe from any thread.
///
/// Define it as a static variable next to the call.
class RateLimitedLogger {
 public:
  explicit RateLimitedLogger(LogRateLimit limit = {}) noexcept
      : limit_(limit) {}

  /// @brief As `Log`, within the rate limit. The first line after suppressed
  /// ones carries their number in the field `suppressed`.
  void Log(Instant now,
           LogLevel level,
           std::string_view part,
           std::string_view sentence,
           const LogFields& fields = {});

  /// @brief Writes a line with the number of suppressed lines when the period
  /// has ended and there are any; for a periodic call.
  void ReportSuppressed(Instant now, std::string_view part);

 private:
  const LogRateLimit limit_;
  std::mutex mutex_;
  LogRateState state_;
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LOGGING_LOG_H_
