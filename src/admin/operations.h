#ifndef CLEMENTINERILL_ADMIN_OPERATIONS_H_
#define CLEMENTINERILL_ADMIN_OPERATIONS_H_

#include <cstdint>
#include <string>

#include "admin/operation.h"
#include "config/labels.h"
#include "config/selector.h"
#include "config/upstream.h"

namespace clementinerill {

/// @brief `SetLabels`; commutative unless the same labels changed.
[[nodiscard]] Operation SetLabelsOperation(const std::string& upstream,
                                           const Labels& labels);

/// @brief `SetSelector`; commutative unless the same selector changed.
[[nodiscard]] Operation SetSelectorOperation(const std::string& route,
                                             const Selector& selector);

/// @brief `SetInService`.
///
/// Taking a domain out is always repeated after a conflict, since it only
/// reduces exposure. Returning one is not repeated if the domain changed.
[[nodiscard]] Operation SetInServiceOperation(const std::string& failure_domain,
                                              bool in_service);

/// @brief `AddUpstream`; commutative, since a name that is taken is an error.
[[nodiscard]] Operation AddUpstreamOperation(std::string service,
                                             Upstream upstream);

/// @brief `RemoveUpstream`; commutative unless the upstream changed.
[[nodiscard]] Operation RemoveUpstreamOperation(const std::string& upstream);

/// @brief Replaces the whole document; never repeated.
///
/// If `document.version_` is not 0, the change applies only to that version:
/// the document was edited from it.
[[nodiscard]] Operation ReplaceOperation(Configuration document);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ADMIN_OPERATIONS_H_
