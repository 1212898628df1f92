#ifndef CLEMENTINERILL_CLI_FINISH_H_
#define CLEMENTINERILL_CLI_FINISH_H_

#include <CLI/CLI.hpp>

#include "cli/exit_code.h"

namespace clementinerill {

/// @brief Ends a CLI11 callback with `code`.
///
/// Any code but `kDone` is thrown as `CLI::RuntimeError`, which is how CLI11
/// passes an exit code out of a callback.
void Finish(ExitCode code);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLI_FINISH_H_
