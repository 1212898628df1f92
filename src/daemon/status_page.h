#ifndef CLEMENTINERILL_DAEMON_STATUS_PAGE_H_
#define CLEMENTINERILL_DAEMON_STATUS_PAGE_H_

#include <string>
#include <vector>

#include "daemon/daemon_options.h"
#include "daemon/upstream_status.h"
#include "routing/routing_table.h"

namespace clementinerill {

/// @brief What `/status` shows.
struct StatusInput {
  const DaemonOptions& options_;
  const RoutingTable* table_;  ///< Null before the first configuration.
  const std::vector<UpstreamStatus>& upstreams_;
  std::string not_ready_;  ///< Name of the reason; empty when ready.
};

/// @brief The status of one daemon as JSON, without the admin token.
[[nodiscard]] std::string StatusJson(const StatusInput& input);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_STATUS_PAGE_H_
