#ifndef CLEMENTINERILL_CONFIG_VALIDATE_CONFIGURATION_H_
#define CLEMENTINERILL_CONFIG_VALIDATE_CONFIGURATION_H_

#include <vector>

#include "base/error.h"
#include "config/configuration.h"

namespace clementinerill {

/// @brief Checks the constraints between the objects of a configuration.
///
/// Names must be unique per kind of object, pools and failure domains that are
/// referred to must be declared, and the default deadline of a route must not
/// exceed its maximum. The position of each error is a JSON pointer into the
/// document.
[[nodiscard]] std::vector<Error> ValidateConfiguration(
    const Configuration& configuration);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_CONFIG_VALIDATE_CONFIGURATION_H_
