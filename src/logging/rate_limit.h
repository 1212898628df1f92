#ifndef CLEMENTINERILL_LOGGING_RATE_LIMIT_H_
#define CLEMENTINERILL_LOGGING_RATE_LIMIT_H_

#include <cstdint>
#include <optional>

#include "base/time.h"

namespace clementinerill {

/// @brief The most lines that one call site writes in a period.
struct LogRateLimit {
  int lines_ = 5;
  Duration period_ = std::chrono::seconds(1);
};

/// @brief What a call site remembers between its lines. Not synchronised.
struct LogRateState {
  std::optional<Instant> period_start_;
  int written_ = 0;          ///< Lines in the current period.
  uint64_t suppressed_ = 0;  ///< Lines not yet reported as suppressed.
};

/// @brief Whether to write a line now, and what to say about earlier ones.
struct LogRateVerdict {
  bool write_ = false;
  /// Lines suppressed since the last one written; write it as the field
  /// `suppressed` when it is not zero.
  uint64_t suppressed_ = 0;
};

/// @brief Decides about one line at the time `now`.
///
/// A period starts with the first line after the end of the previous one, so
/// that any two periods do not overlap.
[[nodiscard]] LogRateVerdict AdmitLogLine(const LogRateLimit& limit,
                                          LogRateState& state,
                                          Instant now) noexcept;

/// @brief Takes the number of suppressed lines when the period has ended, for
/// a periodic report about call sites that have become quiet; otherwise zero.
[[nodiscard]] uint64_t TakeSuppressed(const LogRateLimit& limit,
                                      LogRateState& state,
                                      Instant now) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LOGGING_RATE_LIMIT_H_
