#ifndef CLEMENTINERILL_LOGGING_START_LOGGING_H_
#define CLEMENTINERILL_LOGGING_START_LOGGING_H_

#include <ostream>

#include "base/log_level.h"

namespace clementinerill {

/// @brief Writes log records to `stream`, one line per record:
/// `<UTC time> <level> <component>: <message> <key>=<value> ...`.
///
/// Example: `2026-01-31T12:00:00.000000Z info peer: link opened peer=entry-2`.
/// Each line is flushed. `stream` must outlive all logging. Another call
/// replaces the stream and the level. To be called at startup, before other
/// threads log.
void StartLogging(std::ostream& stream, LogLevel min_level);

/// @brief Writes log records to standard error.
void StartLogging(LogLevel min_level);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_LOGGING_START_LOGGING_H_
