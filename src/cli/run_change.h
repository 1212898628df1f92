#ifndef CLEMENTINERILL_CLI_RUN_CHANGE_H_
#define CLEMENTINERILL_CLI_RUN_CHANGE_H_

#include "admin/change_outcome.h"
#include "admin/operation.h"
#include "cli/command_io.h"
#include "cli/exit_code.h"
#include "cli/operator_options.h"

namespace clementinerill {

/// @brief Applies `operation`, waits if `--wait` is set, and prints the
/// outcome.
///
/// Text output: one line for the outcome and one for each change of the
/// progress. JSON output: one object `{result, version, change_id, reason}`,
/// with `{state, in_force, daemons}` if the command waited. If
/// `required_version` is not 0, the operation is applied only to that version.
[[nodiscard]] ExitCode RunChange(const OperatorOptions& options,
                                 const Operation& operation,
                                 CommandIo io,
                                 uint64_t required_version = 0);

/// @brief Returns the exit code of a change without `--wait`.
[[nodiscard]] ExitCode ToExitCode(ChangeResult result) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLI_RUN_CHANGE_H_
