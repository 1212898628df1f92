#ifndef CLEMENTINERILL_CLI_LOAD_SETTINGS_H_
#define CLEMENTINERILL_CLI_LOAD_SETTINGS_H_

#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "base/error.h"
#include "settings/listen_port_policy.h"
#include "settings/process_settings.h"

namespace clementinerill {

/// @brief Reads and checks a settings file; returns all errors.
[[nodiscard]] tl::expected<Settings, std::vector<Error>> LoadSettings(
    const std::string& path,
    ListenPortPolicy ports);

/// @brief The admin token: from the settings or the file that they name.
[[nodiscard]] Result<Secret> LoadAdminToken(const Settings& settings);

/// @brief Writes each error on a line of standard error.
void PrintErrors(const std::vector<Error>& errors);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CLI_LOAD_SETTINGS_H_
