#ifndef CLEMENTINERILL_SETTINGS_SINGLE_DOCUMENT_H_
#define CLEMENTINERILL_SETTINGS_SINGLE_DOCUMENT_H_

#include <optional>
#include <string>

#include <yaml-cpp/yaml.h>

namespace clementinerill {

/// @brief Parses a YAML text that holds exactly one document; nullopt when it
/// holds none or several. Throws `YAML::ParserException` on malformed text.
[[nodiscard]] std::optional<YAML::Node> LoadSingleDocument(
    const std::string& text);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_SETTINGS_SINGLE_DOCUMENT_H_
