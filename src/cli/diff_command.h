#ifndef CLEMENTINERILL_CLI_DIFF_COMMAND_H_
#define CLEMENTINERILL_CLI_DIFF_COMMAND_H_

#include <CLI/CLI.hpp>

#include "cli/command_io.h"

namespace clementinerill {

/// @brief Adds `diff <file>`, which shows what `apply <file>` would change.
///
/// Text output: the lines of `DiffDocuments`. JSON output: `{version, diff:
/// [line]}`. The exit code does not depend on whether the documents differ.
void AddDiffCommand(CLI::App& app, CommandIo io = {});

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLI_DIFF_COMMAND_H_
