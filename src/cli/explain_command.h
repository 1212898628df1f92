#ifndef CLEMENTINERILL_CLI_EXPLAIN_COMMAND_H_
#define CLEMENTINERILL_CLI_EXPLAIN_COMMAND_H_

#include <CLI/CLI.hpp>

namespace clementinerill {

/// @brief Adds `explain <request id> --admin <address:port>`, which prints the
/// records that a daemon has of a request.
///
/// Sets `exit_code` to 1 if there is no record or the daemon can't be queried.
/// `exit_code` must outlive the parsing.
void AddExplainCommand(CLI::App& app, int& exit_code);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLI_EXPLAIN_COMMAND_H_
