#ifndef CLEMENTINERILL_DAEMON_ADMIN_ACCESS_H_
#define CLEMENTINERILL_DAEMON_ADMIN_ACCESS_H_

#include "daemon/admin_server.h"
#include "settings/secret.h"

namespace clementinerill {

/// @brief Whether the request is authorized: GET and HEAD always, all other
/// methods only with the admin token. Without a token in the settings, all
/// other methods are denied.
[[nodiscard]] bool IsAllowed(const AdminRequest& request,
                             const Secret& token) noexcept;

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_ADMIN_ACCESS_H_
