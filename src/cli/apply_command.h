#ifndef CLEMENTINERILL_CLI_APPLY_COMMAND_H_
#define CLEMENTINERILL_CLI_APPLY_COMMAND_H_

#include <CLI/CLI.hpp>

#include "cli/command_io.h"

namespace clementinerill {

/// @brief Adds `apply <file>`, which replaces the whole configuration.
///
/// A `version` in the file is the one that it was edited from; if the store
/// holds another version, the command ends with a conflict. Without one the
/// document replaces whatever is stored.
void AddApplyCommand(CLI::App& app, CommandIo io = {});

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLI_APPLY_COMMAND_H_
