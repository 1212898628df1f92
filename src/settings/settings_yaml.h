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
/// All errors are reported in one pass, in the order of the document, each
/// with file, line, column and the expected value. `file_name` is only used in
/// errors; no file is read. Errors do not repeat values, so they are safe to
/// log.
/// `ports` applies to the listening endpoints of this daemon.
[[nodiscard]] tl::expected<Settings, std::vector<Error>> ParseSettings(
    const std::string& text,
    const std::string& file_name,
    ListenPortPolicy ports = ListenPortPolicy::kFixed);

/// @brief Writes the settings as YAML, for people: the token is masked, so the
/// text is refused by `ParseSettings` when it held a token.
[[nodiscard]] std::string ToYamlText(const Settings& settings);

/// @brief A complete and valid settings file with comments; the example of
/// docs/configuration.md.
[[nodiscard]] std::string ExampleSettingsText();

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SETTINGS_SETTINGS_YAML_H_
