#ifndef CLEMENTINERILL_CONFIG_CONFIGURATION_JSON_H_
#define CLEMENTINERILL_CONFIG_CONFIGURATION_JSON_H_

#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>
#include <tl/expected.hpp>

#include "base/error.h"
#include "config/configuration.h"

namespace clementinerill {

/// @brief All errors found in one document.
using Errors = std::vector<Error>;

/// @brief Parses and validates a configuration document.
///
/// All errors are reported in one pass; the position of each is a JSON pointer
/// such as `/routes/2/pool`. Unknown keys and unresolved references are errors.
[[nodiscard]] tl::expected<Configuration, Errors> ParseConfiguration(
    const std::string& text);

/// @brief Serializes `configuration`; the inverse of `ParseConfiguration`.
[[nodiscard]] std::string ToJsonText(const Configuration& configuration);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONFIG_CONFIGURATION_JSON_H_
