#ifndef CLEMENTINERILL_SETTINGS_SIZE_TEXT_H_
#define CLEMENTINERILL_SETTINGS_SIZE_TEXT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"

namespace clementinerill {

/// @brief Parses a size in bytes: a whole number followed by the unit B, KiB,
/// MiB or GiB.
///
/// Example: `ParseSize("64KiB")`. A number without a unit is an error.
[[nodiscard]] Result<int64_t> ParseSize(std::string_view text);

/// @brief Formats a size in the syntax of `ParseSize`.
[[nodiscard]] std::string FormatSize(int64_t bytes);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SETTINGS_SIZE_TEXT_H_
