#ifndef CLEMENTINERILL_ADMIN_FAILURE_DOMAIN_OPERATIONS_H_
#define CLEMENTINERILL_ADMIN_FAILURE_DOMAIN_OPERATIONS_H_

#include <string>

#include "base/result.h"
#include "config/configuration.h"

namespace clementinerill {

/// @brief Takes a failure domain out of service or returns it to service.
///
/// Increments the generation of the domain, so that the change takes precedence
/// over earlier advisories. A domain that is already in the wanted state is not
/// changed. Fails if the domain is not declared.
[[nodiscard]] Result<Configuration> SetInService(
    Configuration configuration,
    const std::string& failure_domain,
    bool in_service);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ADMIN_FAILURE_DOMAIN_OPERATIONS_H_
