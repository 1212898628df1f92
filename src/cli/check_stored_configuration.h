#ifndef CLEMENTINERILL_CLI_CHECK_STORED_CONFIGURATION_H_
#define CLEMENTINERILL_CLI_CHECK_STORED_CONFIGURATION_H_

#include "admin/stored_configuration.h"
#include "cli/command_io.h"
#include "cli/exit_code.h"

namespace clementinerill {

/// @brief Returns `kDone` if the stored document can be used.
///
/// Otherwise prints the reason to `io.err_` and returns the exit code for it.
[[nodiscard]] ExitCode CheckStoredConfiguration(
    const StoredConfiguration& stored,
    CommandIo io);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLI_CHECK_STORED_CONFIGURATION_H_
