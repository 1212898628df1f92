#ifndef CLEMENTINERILL_SETTINGS_SETTINGS_YAML_H_
#define CLEMENTINERILL_SETTINGS_SETTINGS_YAML_H_

#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "base/error.h"
#include "settings/listen_port_policy.h"
#include "settings/process_settings.h"

namespace clementinerill {

/// @brief Parses the settings of one daemon from YAML text.
///
/// All errors are reported in one pass, in document order, each with file,
/// line, column and the expected value. `file_name` is only used in errors; no
/// file is read. Errors do not contain values of the document, so they are safe
/// to log. `port_policy` applies to the listening endpoints of this daemon.
[[nodiscard]] tl::expected<Settings, std::vector<Error>> ParseSettings(
    const std::string& text,
    const std::string& file_name,
    ListenPortPolicy port_policy = ListenPortPolicy::kFixed);

/// @brief Formats the settings as YAML for display.
///
/// An inline token is masked; `ParseSettings` rejects the mask, because it is
/// shorter than a valid token.
[[nodiscard]] std::string ToYamlText(const Settings& settings);

/// @brief A complete, valid settings file with comments, as shown in
/// docs/configuration.md.
[[nodiscard]] std::string ExampleSettingsText();

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SETTINGS_SETTINGS_YAML_H_
