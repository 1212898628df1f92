#ifndef CLEMENTINERILL_CLI_STORED_REPORT_H_
#define CLEMENTINERILL_CLI_STORED_REPORT_H_

#include "admin/stored_configuration.h"
#include "cli/command_io.h"
#include "cli/exit_code.h"

namespace clementinerill {

/// @brief Prints why there is no usable stored document, if there is none.
///
/// Returns `kDone` when the document is usable.
[[nodiscard]] ExitCode CheckUsable(const StoredConfiguration& stored,
                                   CommandIo io);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLI_STORED_REPORT_H_
