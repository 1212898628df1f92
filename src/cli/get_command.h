#ifndef CLEMENTINERILL_CLI_GET_COMMAND_H_
#define CLEMENTINERILL_CLI_GET_COMMAND_H_

#include <CLI/CLI.hpp>

#include "cli/command_io.h"

namespace clementinerill {

/// @brief Adds `get`, which prints the stored configuration as JSON.
///
/// The printed `version` is the version that the store assigned. The output can
/// be edited and passed to `apply`.
void AddGetCommand(CLI::App& app, CommandIo io = {});

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLI_GET_COMMAND_H_
