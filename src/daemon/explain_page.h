#ifndef CLEMENTINERILL_DAEMON_EXPLAIN_PAGE_H_
#define CLEMENTINERILL_DAEMON_EXPLAIN_PAGE_H_

#include <optional>

#include "daemon/admin_server.h"
#include "daemon/explain_recorder.h"

namespace clementinerill {

/// @brief Serves `/explain/<request id>` and `/explain?slow`.
/// @return The response, or `std::nullopt` for other paths.
[[nodiscard]] std::optional<AdminReply> ServeExplain(
    const ExplainRecorder& recorder,
    const AdminRequest& request,
    Instant now);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_EXPLAIN_PAGE_H_
