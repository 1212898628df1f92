#include "cli/return_exit_code.h"

namespace clementinerill {

void ReturnExitCode(ExitCode code) {
  if (code != ExitCode::kDone) {
    throw CLI::RuntimeError(static_cast<int>(code));
  }
}

}  // namespace clementinerill
