#ifndef CLEMENTINERILL_CLI_RUN_COMMAND_LINE_H_
#define CLEMENTINERILL_CLI_RUN_COMMAND_LINE_H_

#include <CLI/CLI.hpp>

#include "cli/command_io.h"

namespace clementinerill {

/// @brief Parses the command line, runs the selected command and returns the
/// exit code of the process.
///
/// For usage errors returns 1 instead of the CLI11 codes, which are above 100.
[[nodiscard]] int RunCommandLine(CLI::App& app,
                                 int argc,
                                 const char* const* argv,
                                 CommandIo io = {});

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLI_RUN_COMMAND_LINE_H_
