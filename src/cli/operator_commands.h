#ifndef CLEMENTINERILL_CLI_OPERATOR_COMMANDS_H_
#define CLEMENTINERILL_CLI_OPERATOR_COMMANDS_H_

#include <CLI/CLI.hpp>

#include "cli/command_io.h"

namespace clementinerill {

/// @brief Adds `apply`, `get`, `diff`, `watch`, `failure-domain` and `label`.
///
/// The exit codes are those of `ExitCode` if the program runs `app` with
/// `RunCommandLine`.
void RegisterOperatorCommands(CLI::App& app, CommandIo io = {});

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLI_OPERATOR_COMMANDS_H_
