#ifndef CLEMENTINERILL_ADMIN_ROUTE_OPERATIONS_H_
#define CLEMENTINERILL_ADMIN_ROUTE_OPERATIONS_H_

#include <string>

#include "base/result.h"
#include "config/configuration.h"
#include "config/selector.h"

namespace clementinerill {

/// @brief Replaces the selector of a route; fails if the route is not declared.
[[nodiscard]] Result<Configuration> SetSelector(Configuration configuration,
                                                const std::string& route,
                                                Selector selector);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ADMIN_ROUTE_OPERATIONS_H_
