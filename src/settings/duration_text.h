#ifndef CLEMENTINERILL_SETTINGS_DURATION_TEXT_H_
#define CLEMENTINERILL_SETTINGS_DURATION_TEXT_H_

#include <string>
#include <string_view>

#include "base/result.h"
#include "base/time.h"

namespace clementinerill {

/// @brief Parses a whole number followed by the unit us, ms, s or min.
///
/// Example: `ParseDuration("250ms")`. A number without a unit is an error.
[[nodiscard]] Result<Duration> ParseDuration(std::string_view text);

/// @brief Formats a duration, truncated to whole microseconds, in the syntax of
/// `ParseDuration`.
[[nodiscard]] std::string FormatDuration(Duration duration);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SETTINGS_DURATION_TEXT_H_
