#ifndef CLEMENTINERILL_CLI_SERVE_COMMAND_H_
#define CLEMENTINERILL_CLI_SERVE_COMMAND_H_

#include <CLI/CLI.hpp>

namespace clementinerill {

/// @brief Adds `serve --settings <file>`, which runs one daemon until SIGTERM
/// or SIGINT.
///
/// Sets `exit_code` to 1 if the daemon can't be started. `exit_code` must
/// outlive the parsing.
void AddServeCommand(CLI::App& app, int& exit_code);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLI_SERVE_COMMAND_H_
