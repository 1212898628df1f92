#ifndef CLEMENTINERILL_BASE_LOG_LEVEL_H_
#define CLEMENTINERILL_BASE_LOG_LEVEL_H_

#include <array>

#include "base/name_table.h"

namespace clementinerill {

/// @brief Severity of a log line, in ascending order.
enum class LogLevel {
  kDebug,
  kInfo,
  kWarning,
  kError,
};

inline constexpr std::array<NameEntry<LogLevel>, 4> kLogLevelNames = {{
    {LogLevel::kDebug, "debug"},
    {LogLevel::kInfo, "info"},
    {LogLevel::kWarning, "warning"},
    {LogLevel::kError, "error"},
}};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_BASE_LOG_LEVEL_H_
