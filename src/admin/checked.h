#ifndef CLEMENTINERILL_ADMIN_CHECKED_H_
#define CLEMENTINERILL_ADMIN_CHECKED_H_

#include "base/result.h"
#include "config/configuration.h"

namespace clementinerill {

/// @brief Returns `configuration`, or the first error of
/// `ValidateConfiguration`.
[[nodiscard]] Result<Configuration> Checked(Configuration configuration);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ADMIN_CHECKED_H_
