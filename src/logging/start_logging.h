#ifndef CLEMENTINERILL_LOGGING_START_LOGGING_H_
#define CLEMENTINERILL_LOGGING_START_LOGGING_H_

#include <ostream>

#include "base/log_level.h"

namespace clementinerill {

/// @brief Directs log lines to `stream`, one line for each record:
/// `<UTC time> <level> <part>: <sentence> <key>=<value> ...`.
///
/// Example: `2026-01-31T12:00:00.000000Z info peer: link opened peer=entry-2`.
/// Each line is flushed. `stream` must outlive all logging. A second call
/// replaces stream and level. Call it once at start, before other threads log.
void StartLogging(std::ostream& stream, LogLevel least);

/// @brief `StartLogging` on standard error.
void StartLogging(LogLevel least);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LOGGING_START_LOGGING_H_
