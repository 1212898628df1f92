#include "cli/finish.h"

namespace clementinerill {

void Finish(ExitCode code) {
  if (code != ExitCode::kDone) {
    throw CLI::RuntimeError(static_cast<int>(code));
  }
}

}  // namespace clementinerill
