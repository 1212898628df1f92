#ifndef CLEMENTINERILL_LOGGING_LOG_LINE_H_
#define CLEMENTINERILL_LOGGING_LOG_LINE_H_

#include <string>
#include <string_view>

#include "logging/log_field.h"

namespace clementinerill {

/// @brief Writes a value as one word, or quoted when it is empty or has a
/// character other than printable ASCII, a space, `"`, `=` or `\`.
///
/// Inside quotes `"` and `\` are escaped with `\`; line breaks, tabs and other
/// control characters are `\n`, `\r`, `\t` and `\xNN`. Bytes of UTF-8 stay.
[[nodiscard]] std::string EscapeFieldValue(std::string_view value);

/// @brief The text of a line after timestamp and level:
/// `<part>: <sentence> <key>=<value> ...`.
///
/// Control characters in the sentence are escaped, so that a record is always
/// one line.
///
/// Example: `LogLine("sweep", "part retried", {{"reason", "shed"}})` is
/// `sweep: part retried reason=shed`.
[[nodiscard]] std::string LogLine(std::string_view part,
                                  std::string_view sentence,
                                  const LogFields& fields = {});

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LOGGING_LOG_LINE_H_
