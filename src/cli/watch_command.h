#ifndef CLEMENTINERILL_CLI_WATCH_COMMAND_H_
#define CLEMENTINERILL_CLI_WATCH_COMMAND_H_

#include <CLI/CLI.hpp>

#include "cli/command_io.h"

namespace clementinerill {

/// @brief Adds `watch`, which prints each new version of the configuration.
///
/// Text output: a line `version <n> change <id>`, followed by the differences
/// from the version printed before. JSON output: a line `{version, change_id}`.
/// Exits after `--count` versions or on a signal. `--timeout` limits only the
/// first read; a later outage is reported once, and requests are retried until
/// the store is available again.
void AddWatchCommand(CLI::App& app, CommandIo io = {});

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLI_WATCH_COMMAND_H_
