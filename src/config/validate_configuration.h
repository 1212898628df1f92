#ifndef CLEMENTINERILL_CONFIG_VALIDATE_CONFIGURATION_H_
#define CLEMENTINERILL_CONFIG_VALIDATE_CONFIGURATION_H_

#include <vector>

#include "base/error.h"
#include "config/configuration.h"

namespace clementinerill {

/// @brief Finds duplicate names and names that nothing declares.
///
/// The position of each error is a JSON pointer into the document.
[[nodiscard]] std::vector<Error> ValidateConfiguration(
    const Configuration& configuration);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONFIG_VALIDATE_CONFIGURATION_H_
