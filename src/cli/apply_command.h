#ifndef CLEMENTINERILL_CLI_APPLY_COMMAND_H_
#define CLEMENTINERILL_CLI_APPLY_COMMAND_H_

#include <CLI/CLI.hpp>

#include "cli/command_io.h"

namespace clementinerill {

/// @brief Adds `apply <file>`, which replaces the whole configuration.
///
/// `version` in the file is the version that the document was edited from. If
/// the stored version differs, the command fails with a conflict. A file
/// without `version` replaces any stored version.
void AddApplyCommand(CLI::App& app, CommandIo io = {});

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLI_APPLY_COMMAND_H_
