#ifndef CLEMENTINERILL_LOGGING_LOG_LINE_H_
#define CLEMENTINERILL_LOGGING_LOG_LINE_H_

#include <string>
#include <string_view>

#include "logging/log_field.h"

namespace clementinerill {

/// @brief Formats a field value, quoted if it is empty or contains a space,
/// `"`, `=`, `\` or a character that is not printable ASCII.
///
/// Inside quotes, `"` and `\` are escaped with `\`. Line breaks, tabs and other
/// control characters become `\n`, `\r`, `\t` and `\xNN`. Bytes of UTF-8
/// sequences are kept.
[[nodiscard]] std::string EscapeFieldValue(std::string_view value);

/// @brief Formats the part of a line that follows timestamp and level:
/// `<component>: <message> <key>=<value> ...`.
///
/// Control characters in the message are escaped, so that a record is always
/// one line.
///
/// Example: `FormatLogLine("sweep", "part retried", {{"reason", "shed"}})` is
/// `sweep: part retried reason=shed`.
[[nodiscard]] std::string FormatLogLine(std::string_view component,
                                        std::string_view message,
                                        const LogFields& fields = {});

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LOGGING_LOG_LINE_H_
