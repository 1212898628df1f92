#ifndef CLEMENTINERILL_DAEMON_STATUS_PAGE_H_
#define CLEMENTINERILL_DAEMON_STATUS_PAGE_H_

#include <map>
#include <string>
#include <vector>

#include "daemon/daemon_options.h"
#include "daemon/upstream_status.h"
#include "routing/pool_seats.h"
#include "routing/routing_table.h"

namespace clementinerill {

/// @brief The data shown by `/status`.
struct StatusInput {
  const DaemonOptions& options_;
  const RoutingTable* table_;  ///< Null before the first configuration.
  const std::vector<UpstreamStatus>& upstreams_;
  std::string not_ready_;  ///< Name of the reason; empty when ready.
  const std::map<std::string, PoolSeats>& seats_;  ///< By pool name.
  std::string control_;  ///< Status of the control plane as JSON.
};

/// @brief The status of a daemon as JSON; never contains the admin token.
[[nodiscard]] std::string StatusJson(const StatusInput& input);

}  // namespace clementinerill

#endif  // CLEMENTINERILL_DAEMON_STATUS_PAGE_H_
