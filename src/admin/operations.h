#ifndef CLEMENTINERILL_ADMIN_OPERATIONS_H_
#define CLEMENTINERILL_ADMIN_OPERATIONS_H_

#include <cstdint>
#include <string>

#include "admin/operation.h"
#include "config/labels.h"
#include "config/selector.h"
#include "config/upstream.h"

namespace clementinerill {

/// @brief Runs `SetLabels`; retried unless the same labels have changed.
[[nodiscard]] Operation SetLabelsOperation(const std::string& upstream,
                                           const Labels& labels);

/// @brief Runs `SetSelector`; retried unless the same selector has changed.
[[nodiscard]] Operation SetSelectorOperation(const std::string& route,
                                             const Selector& selector);

/// @brief Runs `SetInService`.
///
/// Taking a domain out of service is always retried after a conflict, since it
/// only reduces exposure. Returning a domain to service is not retried if the
/// domain has changed.
[[nodiscard]] Operation SetInServiceOperation(const std::string& failure_domain,
                                              bool in_service);

/// @brief Runs `AddUpstream`; always retried, since a duplicate name is an
/// error.
[[nodiscard]] Operation AddUpstreamOperation(std::string service,
                                             Upstream upstream);

/// @brief Runs `RemoveUpstream`; retried unless the upstream has changed.
[[nodiscard]] Operation RemoveUpstreamOperation(const std::string& upstream);

/// @brief Replaces the whole document; never retried after a conflict.
///
/// Ignores `document.version_`. To replace only the version that the document
/// was edited from, pass this version to `ApplyChange` as `required_version`.
[[nodiscard]] Operation ReplaceOperation(Configuration document);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_ADMIN_OPERATIONS_H_
