#ifndef CLEMENTINERILL_CLI_EXIT_CODE_H_
#define CLEMENTINERILL_CLI_EXIT_CODE_H_

namespace clementinerill {

/// @brief Exit codes of the operator commands.
enum class ExitCode {
  kDone = 0,
  kInvalid = 1,      ///< Usage error or invalid input, also a rejected token.
  kConflict = 2,     ///< A concurrent change came first; nothing was written.
  kUnavailable = 3,  ///< The platform was unavailable.
  kUnknown = 4,      ///< The outcome was still unknown at the timeout.
  kRolledBack = 5,   ///< With `--wait`: the change was rolled back.
};

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLI_EXIT_CODE_H_
