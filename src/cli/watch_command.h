#ifndef CLEMENTINERILL_CLI_WATCH_COMMAND_H_
#define CLEMENTINERILL_CLI_WATCH_COMMAND_H_

#include <CLI/CLI.hpp>

#include "cli/command_io.h"

namespace clementinerill {

/// @brief Adds `watch`, which prints each new version of the configuration.
///
/// Text: a line `version <n> change <id>`, followed by the differences from
/// the version printed before. JSON: a line `{version, change_id}`. Ends after
/// `--count` versions or by a signal. `--timeout` bounds the wait for the
/// first answer; later outages are reported and waited out.
void AddWatchCommand(CLI::App& app, CommandIo io = {});

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLI_WATCH_COMMAND_H_
