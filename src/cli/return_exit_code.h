#ifndef CLEMENTINERILL_CLI_RETURN_EXIT_CODE_H_
#define CLEMENTINERILL_CLI_RETURN_EXIT_CODE_H_

#include <CLI/CLI.hpp>

#include "cli/exit_code.h"

namespace clementinerill {

/// @brief Passes the exit code of a command out of its CLI11 callback.
///
/// Throws `CLI::RuntimeError` for any code but `kDone`, since a CLI11 callback
/// has no return value.
void ReturnExitCode(ExitCode code);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLI_RETURN_EXIT_CODE_H_
