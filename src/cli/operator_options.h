#ifndef CLEMENTINERILL_CLI_OPERATOR_OPTIONS_H_
#define CLEMENTINERILL_CLI_OPERATOR_OPTIONS_H_

#include <memory>
#include <string>

#include <CLI/CLI.hpp>

#include "base/time.h"
#include "platform/platform_settings.h"

namespace clementinerill {

/// @brief Options that every operator command has.
struct OperatorOptions {
  std::string platform_;         ///< `<host>:<port>` of the platform.
  std::string token_;            ///< Bearer token; may be empty.
  std::string output_ = "text";  ///< `text` or `json`.
  double timeout_seconds_ = 30;  ///< Bound of the whole command.
  bool wait_ = false;            ///< Wait until in force everywhere.
};

/// @brief Adds `--platform`, `--token`, `--output` and `--timeout`.
///
/// The platform and the token may also come from the environment variables
/// CLEMENTINERILL_PLATFORM and CLEMENTINERILL_TOKEN.
[[nodiscard]] std::shared_ptr<OperatorOptions> AddOperatorOptions(
    CLI::App& command);

/// @brief Adds `--wait` to a command that changes the configuration.
void AddWaitOption(CLI::App& command, OperatorOptions& options);

/// @brief Client settings for the options.
[[nodiscard]] PlatformSettings ToSettings(const OperatorOptions& options);

/// @brief When the command must have ended.
[[nodiscard]] Instant DeadlineOf(const OperatorOptions& options);

[[nodiscard]] inline bool IsJson(const OperatorOptions& options) {
  return options.output_ == "json";
}

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLI_OPERATOR_OPTIONS_H_
