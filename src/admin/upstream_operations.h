#ifndef CLEMENTINERILL_ADMIN_UPSTREAM_OPERATIONS_H_
#define CLEMENTINERILL_ADMIN_UPSTREAM_OPERATIONS_H_

#include <string>

#include "base/result.h"
#include "config/configuration.h"
#include "config/labels.h"

namespace clementinerill {

/// @brief Returns the upstream with the given name, or null.
[[nodiscard]] const Upstream* FindUpstream(const Configuration& configuration,
                                           const std::string& name) noexcept;

/// @brief Sets labels of an upstream; an empty value removes the label.
///
/// Other labels are not changed. Fails if the upstream is not declared or a key
/// is empty.
[[nodiscard]] Result<Configuration> SetLabels(Configuration configuration,
                                              const std::string& upstream,
                                              const Labels& labels);

/// @brief Adds an upstream to a service.
///
/// Fails if the service or the failure domain is not declared, or if the name
/// is already in use.
[[nodiscard]] Result<Configuration> AddUpstream(Configuration configuration,
                                                const std::string& service,
                                                Upstream upstream);

/// @brief Removes an upstream; fails if the upstream is not declared.
[[nodiscard]] Result<Configuration> RemoveUpstream(Configuration configuration,
                                                   const std::string& upstream);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ADMIN_UPSTREAM_OPERATIONS_H_
