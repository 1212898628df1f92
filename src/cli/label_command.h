#ifndef CLEMENTINERILL_CLI_LABEL_COMMAND_H_
#define CLEMENTINERILL_CLI_LABEL_COMMAND_H_

#include <CLI/CLI.hpp>

#include "cli/command_io.h"

namespace clementinerill {

/// @brief Adds `label <upstream> key=value...`, which sets labels of an
/// upstream.
///
/// An empty value (`key=`) removes the label.
void AddLabelCommand(CLI::App& app, CommandIo io = {});

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLI_LABEL_COMMAND_H_
