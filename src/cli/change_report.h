#ifndef CLEMENTINERILL_CLI_CHANGE_REPORT_H_
#define CLEMENTINERILL_CLI_CHANGE_REPORT_H_

#include "admin/change_outcome.h"
#include "admin/operation.h"
#include "cli/command_io.h"
#include "cli/exit_code.h"
#include "cli/operator_options.h"

namespace clementinerill {

/// @brief Applies `operation`, waits if asked to, and prints the outcome.
///
/// Text: one line for the outcome and one per step of progress. JSON: one
/// object `{result, version, change_id, reason}`, with `{state, in_force,
/// daemons}` after waiting. If `required_version` is not 0, the change applies
/// only to this version.
[[nodiscard]] ExitCode RunChange(const OperatorOptions& options,
                                 const Operation& operation,
                                 CommandIo io,
                                 uint64_t required_version = 0);

/// @brief The exit code of a change that was not waited for.
[[nodiscard]] ExitCode ToExitCode(ChangeResult result) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLI_CHANGE_REPORT_H_
