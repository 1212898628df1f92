#ifndef CLEMENTINERILL_CLI_OPERATOR_OPTIONS_H_
#define CLEMENTINERILL_CLI_OPERATOR_OPTIONS_H_

#include <memory>
#include <string>

#include <CLI/CLI.hpp>

#include "base/time.h"
#include "platform/platform_settings.h"

namespace clementinerill {

/// @brief Options of the operator commands.
struct OperatorOptions {
  std::string platform_;         ///< `<host>:<port>` of the platform.
  std::string token_;            ///< Bearer token; may be empty.
  std::string output_ = "text";  ///< `text` or `json`.
  double timeout_seconds_ = 30;  ///< Time limit of the command.
  bool wait_ = false;            ///< Wait until in force on all daemons.
};

/// @brief Adds `--platform`, `--token`, `--output` and `--timeout`.
///
/// The platform and the token may also come from the environment variables
/// CLEMENTINERILL_PLATFORM and CLEMENTINERILL_TOKEN.
[[nodiscard]] std::shared_ptr<OperatorOptions> AddOperatorOptions(
    CLI::App& command);

/// @brief Adds `--wait` to a command that changes the configuration.
void AddWaitOption(CLI::App& command, OperatorOptions& options);

/// @brief Returns the settings of the platform client.
[[nodiscard]] PlatformSettings ToPlatformSettings(
    const OperatorOptions& options);

/// @brief Returns the deadline of a command that starts now.
[[nodiscard]] Instant DeadlineOf(const OperatorOptions& options);

[[nodiscard]] inline bool IsJson(const OperatorOptions& options) {
  return options.output_ == "json";
}

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLI_OPERATOR_OPTIONS_H_
