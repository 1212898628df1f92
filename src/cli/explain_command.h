#ifndef CLEMENTINERILL_CLI_EXPLAIN_COMMAND_H_
#define CLEMENTINERILL_CLI_EXPLAIN_COMMAND_H_

#include <CLI/CLI.hpp>

namespace clementinerill {

/// @brief Adds `explain <request id> --admin <address:port>`, which prints what
/// a daemon recorded and sets `exit_code` to 1 when there is no record.
/// `exit_code` must outlive the parsing.
void AddExplainCommand(CLI::App& app, int& exit_code);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLI_EXPLAIN_COMMAND_H_
