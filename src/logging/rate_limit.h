#ifndef CLEMENTINERILL_LOGGING_RATE_LIMIT_H_
#define CLEMENTINERILL_LOGGING_RATE_LIMIT_H_

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace clementinerill {

/// @brief Limit on the number of lines that one call site writes in a period.
struct LogRateLimit {
  int max_lines_ = 5;
  Duration period_ = std::chrono::seconds(1);
};

/// @brief Rate limiting state of one call site. Not thread-safe.
struct LogRateState {
  std::optional<Instant> period_start_;
  int written_ = 0;          ///< Lines written in the current period.
  uint64_t suppressed_ = 0;  ///< Suppressed lines not reported yet.
};

/// @brief Whether to write a line, and how many earlier ones were suppressed.
struct LogRateDecision {
  bool write_ = false;
  /// Lines suppressed since the last one written. If not zero, to be written as
  /// the field `suppressed`.
  uint64_t suppressed_ = 0;
};

/// @brief Decides whether a line is written at the time `now`.
///
/// A period starts with the first line after the end of the previous period, so
/// that periods do not overlap.
[[nodiscard]] LogRateDecision AdmitLogLine(const LogRateLimit& limit,
                                           LogRateState& state,
                                           Instant now) noexcept;

/// @brief Returns the number of suppressed lines and resets it if the period
/// has ended; otherwise returns zero.
///
/// Used by a periodic report, because a call site that logs no further lines
/// cannot report the number itself.
[[nodiscard]] uint64_t TakeSuppressedCount(const LogRateLimit& limit,
                                           LogRateState& state,
                                           Instant now) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LOGGING_RATE_LIMIT_H_
