#ifndef CLEMENTINERILL_ADMIN_ENSURE_VALID_H_
#define CLEMENTINERILL_ADMIN_ENSURE_VALID_H_

#include "base/result.h"
#include "config/configuration.h"

namespace clementinerill {

/// @brief Returns `configuration` if it is valid, otherwise the first error
/// that `ValidateConfiguration` reports.
[[nodiscard]] Result<Configuration> EnsureValid(Configuration configuration);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ADMIN_ENSURE_VALID_H_
