#ifndef CLEMENTINERILL_CLI_CHECK_COMMAND_H_
#define CLEMENTINERILL_CLI_CHECK_COMMAND_H_

#include <CLI/CLI.hpp>

namespace clementinerill {

/// @brief Adds `check <file>`, which validates a settings file.
///
/// Sets `exit_code` to 1 if the file has errors. `exit_code` must outlive the
/// parsing.
void AddCheckCommand(CLI::App& app, int& exit_code);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLI_CHECK_COMMAND_H_
