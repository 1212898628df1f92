#ifndef CLEMENTINERILL_CLI_LOAD_SETTINGS_H_
#define CLEMENTINERILL_CLI_LOAD_SETTINGS_H_

#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "base/error.h"
#include "settings/listen_port_policy.h"
#include "settings/process_settings.h"

namespace clementinerill {

/// @brief Reads and validates a settings file; returns all errors found.
[[nodiscard]] tl::expected<Settings, std::vector<Error>> LoadSettings(
    const std::string& path,
    ListenPortPolicy policy);

/// @brief Returns the admin token from the settings, or from the token file
/// that they name.
[[nodiscard]] Result<Secret> LoadAdminToken(const Settings& settings);

/// @brief Prints each error on its own line to standard error.
void PrintErrors(const std::vector<Error>& errors);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLI_LOAD_SETTINGS_H_
