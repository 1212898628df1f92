#ifndef CLEMENTINERILL_LOGGING_LOG_FIELD_H_
#define CLEMENTINERILL_LOGGING_LOG_FIELD_H_

#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include "base/time.h"

namespace clementinerill {

/// @brief One structured field of a log line.
struct LogField {
  /// @brief A string; it is escaped when the line is formatted.
  LogField(std::string_view key, std::string value)
      : key_(key), value_(std::move(value)) {}
  LogField(std::string_view key, std::string_view value)
      : key_(key), value_(value) {}
  LogField(std::string_view key, const char* value)
      : key_(key), value_(value) {}

  LogField(std::string_view key, bool value)
      : key_(key), value_(value ? "true" : "false") {}

  /// @brief A number.
  template <typename T, typename = std::enable_if_t<std::is_arithmetic_v<T>>>
  LogField(std::string_view key, T value)
      : key_(key), value_(std::to_string(value)) {}

  /// @brief A duration in whole milliseconds; the key should end in `_ms`.
  LogField(std::string_view key, Duration value)
      : key_(key), value_(std::to_string(ToMilliseconds(value))) {}

  std::string key_;  ///< Letters, digits and `_`.
  std::string value_;
};

/// @brief The fields of one line, in the order in which they are written.
using LogFields = std::vector<LogField>;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LOGGING_LOG_FIELD_H_
